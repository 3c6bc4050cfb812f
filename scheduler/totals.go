package scheduler

import (
	"maps"

	"github.com/cactusreel/cactusreel/hostapi"
)

// maxDelta is how many changed sums a snapshot carries before they are merged
// into a new base. Without the division, each changed worker would copy the
// sums of the whole cell.
const maxDelta = 256

// totals are sums over the attempts of a cell, kept with each snapshot so that
// a round need not visit every attempt. Snapshots share the base.
type totals struct {
	base     *sums
	delta    sums
	assigned hostapi.Resources
}

// newSums returns sums over nothing.
func newSums() sums {
	return sums{teamUsage: map[string]hostapi.Resources{}, rackReplicas: map[jobRack]int{}}
}

// newTotals returns totals over nothing.
func newTotals() *totals {
	base := newSums()
	return &totals{base: &base, delta: newSums()}
}

// teamUsage returns what a team holds.
func (t *totals) teamUsage(team string) hostapi.Resources {
	return t.base.teamUsage[team].Add(t.delta.teamUsage[team])
}

// replicas returns the replicas of a service in a rack.
func (t *totals) replicas(in jobRack) int {
	return t.base.rackReplicas[in] + t.delta.rackReplicas[in]
}

// clone returns a copy that can be changed.
func (t *totals) clone() *totals {
	c := &totals{base: t.base, assigned: t.assigned}
	c.delta = sums{teamUsage: maps.Clone(t.delta.teamUsage), rackReplicas: maps.Clone(t.delta.rackReplicas)}
	if len(t.delta.teamUsage)+len(t.delta.rackReplicas) > maxDelta {
		c.merge()
	}
	return c
}

// merge makes a new base out of the old one and the delta.
func (t *totals) merge() {
	base := sums{teamUsage: maps.Clone(t.base.teamUsage), rackReplicas: maps.Clone(t.base.rackReplicas)}
	for team, amount := range t.delta.teamUsage {
		base.teamUsage[team] = base.teamUsage[team].Add(amount)
	}
	for in, n := range t.delta.rackReplicas {
		base.rackReplicas[in] += n
		if base.rackReplicas[in] == 0 {
			delete(base.rackReplicas, in)
		}
	}
	t.base, t.delta = &base, newSums()
}

// add adds (sign 1) or removes (sign -1) the attempts of a worker.
func (t *totals) add(w *Worker, sign int64) {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		held := a.Reserved()
		held = hostapi.Resources{
			MilliCPU:     sign * held.MilliCPU,
			MemoryMiB:    sign * held.MemoryMiB,
			Accelerators: sign * held.Accelerators,
		}
		t.assigned = t.assigned.Add(held)
		t.delta.teamUsage[a.Team] = t.delta.teamUsage[a.Team].Add(held)
		if a.Service {
			t.delta.rackReplicas[jobRack{a.Job, w.Rack}] += int(sign)
		}
	}
}
