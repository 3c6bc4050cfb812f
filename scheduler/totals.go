package scheduler

import "github.com/cactusreel/cactusreel/platform"

// totals are sums over the attempts of a cell, kept with each snapshot so that
// a round need not visit every attempt.
type totals struct {
	use      map[string]platform.Resources
	racks    map[jobRack]int
	assigned platform.Resources
}

// newTotals returns sums over nothing.
func newTotals() *totals {
	return &totals{use: map[string]platform.Resources{}, racks: map[jobRack]int{}}
}

// clone returns a copy that can be changed.
func (t *totals) clone() *totals {
	return &totals{use: cloneMap(t.use), racks: cloneMap(t.racks), assigned: t.assigned}
}

// add adds (sign 1) or removes (sign -1) the attempts of a worker.
func (t *totals) add(w *Worker, sign int64) {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		held := a.Reserved()
		held = platform.Resources{
			MilliCPU:     sign * held.MilliCPU,
			MemoryMiB:    sign * held.MemoryMiB,
			Accelerators: sign * held.Accelerators,
		}
		t.assigned = t.assigned.Add(held)
		t.use[a.Team] = t.use[a.Team].Add(held)
		if a.Service {
			t.racks[jobRack{a.Job, w.Rack}] += int(sign)
		}
	}
}
