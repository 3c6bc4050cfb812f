package scheduler

import (
	"maps"

	"github.com/cactusreel/cactusreel/hostapi"
)

// maxDelta is how many changed sums a snapshot holds before they are merged into a
// new base. Without the split into base and delta, each changed worker would copy
// the sums of the whole cell.
const maxDelta = 256

// totals are sums over the attempts of a cell. Each snapshot has them, so that a
// round need not visit every attempt. Snapshots share the base.
type totals struct {
	base     *sums
	delta    sums
	assigned hostapi.Resources
}

// newSums returns empty sums.
func newSums() sums {
	return sums{teamUsage: map[string]hostapi.Resources{}, rackReplicas: map[jobRack]int{}}
}

// newTotals returns empty totals.
func newTotals() *totals {
	base := newSums()
	return &totals{base: &base, delta: newSums()}
}

// teamUsage returns the resources that a team uses.
func (t *totals) teamUsage(team string) hostapi.Resources {
	return t.base.teamUsage[team].Add(t.delta.teamUsage[team])
}

// replicas returns the number of a service's replicas in a rack.
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

// merge combines the base and the delta into a new base.
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
		reserved := a.Reserved()
		reserved = hostapi.Resources{
			MilliCPU:     sign * reserved.MilliCPU,
			MemoryMiB:    sign * reserved.MemoryMiB,
			Accelerators: sign * reserved.Accelerators,
		}
		t.assigned = t.assigned.Add(reserved)
		t.delta.teamUsage[a.Team] = t.delta.teamUsage[a.Team].Add(reserved)
		if a.Service {
			t.delta.rackReplicas[jobRack{a.Job, w.Rack}] += int(sign)
		}
	}
}
