package routing

import "time"

// Servers returns the backend servers that the last Update listed, including
// those that are leaving.
func (r *Router) Servers() []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Server, 0, len(r.retained.servers))
	for _, server := range r.retained.servers {
		if !server.absence.absent {
			list = append(list, server)
		}
	}
	return list
}

// SlotsInUse returns how many slots of a cell's workers are in use, including
// those of abandoned requests whose release time has not passed.
func (r *Router) SlotsInUse(cell int, now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, w := range r.retained.workers {
		if c := w.cell.Load(); c == nil || c.number != cell {
			continue
		}
		w.reclaimExpiredSlots(now)
		total += w.SlotsInUse()
	}
	return total
}
