package routing

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Router holds the routing table and the state that survives table updates.
// Its methods may be called concurrently. Choose and Service take no lock.
type Router struct {
	table atomic.Pointer[table]
	// mu guards retained, which Choose and Service don't use.
	mu       sync.Mutex
	retained *retainedState
}

// New returns a Router with an empty table.
func New() *Router {
	r := &Router{retained: newRetainedState()}
	r.table.Store(&table{})
	return r
}

// Update publishes a new table. Requests in progress keep their slots, and
// estimates, budgets and shares are kept.
func (r *Router) Update(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Store(buildTable(r.retained, &s))
	r.retained.prune(&s)
}

// SetAuthority sets this VM's authority over the workers of a cell, with effect
// from the next decision. An authority of a lower term than the current one is
// ignored, and so is one of the same term after Lost: a term that was replaced
// never becomes valid again.
func (r *Router) SetAuthority(cell int, a Authority) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.retained.cell(cell)
	current := c.Authority()
	if a.Term < current.Term {
		return
	}
	if a.Term == current.Term && current.State == Lost && current.Term != 0 {
		return
	}
	c.authority.Store(&a)
}

// Authority returns the authority of a cell that was set last, or the zero
// value if none was set.
func (r *Router) Authority(cell int) Authority {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.retained.cells[cell]; c != nil {
		return c.Authority()
	}
	return Authority{}
}

// Service returns a service of the current table, and whether it exists.
func (r *Router) Service(name string) (*Service, bool) {
	svc, ok := r.table.Load().services[name]
	return svc, ok
}

// Summaries returns the free slots per service of every own cell that has
// serving backend servers, in order of cell number, for publication to the
// peers.
func (r *Router) Summaries(now time.Duration) []CellSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	byCell := map[*Cell]map[string]int{}
	for name, svc := range r.table.Load().services {
		for _, server := range svc.servers {
			addFree(byCell, server, name, now)
		}
	}
	var list []CellSummary
	for number, cell := range r.retained.cells {
		if free := byCell[cell]; free != nil {
			list = append(list, CellSummary{Cell: number, Term: cell.Authority().Term, Free: free})
		}
	}
	slices.SortFunc(list, func(a, b CellSummary) int { return cmp.Compare(a.Cell, b.Cell) })
	return list
}

func addFree(byCell map[*Cell]map[string]int, server *Server, service string, now time.Duration) {
	cell := server.worker.cell.Load()
	free := byCell[cell]
	if free == nil {
		free = map[string]int{}
		byCell[cell] = free
	}
	n := 0
	if !server.Leaving() {
		n = server.worker.FreeSlots(now)
	}
	free[service] += n
}
