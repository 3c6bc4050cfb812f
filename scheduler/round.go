package scheduler

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Round is the state of one round of placement. Plugins only read it, except for
// Reserve.
type Round struct {
	Now      time.Duration
	Snapshot *Snapshot
	Plan     Plan

	policy *Policy
	root   *workerIndex
	added  map[int][]*Task
	// usageAdded is what this round adds to the usage of each team.
	usageAdded map[string]hostapi.Resources
	// replicasAdded counts the service replicas that this round adds, by job and
	// rack.
	replicasAdded map[jobRack]int
	// placedNeed is the sum of the needs of the tasks placed in this round.
	placedNeed hostapi.Resources
	// agedReserved is set when a worker's capacity is reserved for an aged task.
	agedReserved bool
	// noWorkerReasons holds the equivalence classes that found no worker in this
	// round, with the reasons.
	noWorkerReasons map[equivalenceClass]string
}

// newRound returns the state at the start of a round.
func (p *Policy) newRound(now time.Duration, s *Snapshot) *Round {
	return &Round{
		Now: now, Snapshot: s, Plan: Plan{SnapshotVersion: s.version},
		policy: p, root: s.root, added: map[int][]*Task{},
		usageAdded: map[string]hostapi.Resources{}, replicasAdded: map[jobRack]int{}, noWorkerReasons: map[equivalenceClass]string{},
	}
}

// teamUsage returns the resources that a team uses, with the placements of this
// round.
func (r *Round) teamUsage(team string) hostapi.Resources {
	return r.Snapshot.totals.teamUsage(team).Add(r.usageAdded[team])
}

// replicas returns the number of a service's replicas in a rack, with the
// placements of this round.
func (r *Round) replicas(in jobRack) int {
	return r.Snapshot.totals.replicas(in) + r.replicasAdded[in]
}

// candidate returns the worker at a position of the worker index.
func (r *Round) candidate(position int) Candidate {
	leaf := r.root.leaf(r.Snapshot.size, position)
	return Candidate{Worker: leaf.worker, Free: leaf.free, Added: r.added[position], position: position}
}

// recordUnplaced records that a task was not placed.
func (r *Round) recordUnplaced(t *Task, v Verdict, until time.Duration, reason string) {
	r.Plan.Unplaced = append(r.Plan.Unplaced, UnplacedTask{Task: t.ID, Verdict: v, Until: until, Reason: reason})
}

// place records a placement and deducts it from the worker's free capacity.
func (r *Round) place(t *Task, need hostapi.Resources, c *Candidate, probe bool, reason string) {
	r.root = r.root.set(r.Snapshot.size, c.position, c.Worker, c.Free.Sub(need))
	r.added[c.position] = append(r.added[c.position], t)
	r.usageAdded[t.Team] = r.usageAdded[t.Team].Add(need)
	r.placedNeed = r.placedNeed.Add(need)
	for _, plugin := range r.policy.plugins.reserves {
		plugin.Reserve(r, t, c)
	}
	r.Plan.Placements = append(r.Plan.Placements, Placement{
		Task: t.ID, Attempt: t.Attempt, Worker: c.Worker.ID, Boot: c.Worker.Boot,
		Requests: need, Probe: probe, Reason: reason,
	})
}

// describeNeed returns a need as text for a reason.
func describeNeed(need hostapi.Resources) string {
	text := fmt.Sprintf("%.1f cores and %d MiB", float64(need.MilliCPU)/1000, need.MemoryMiB)
	if need.Accelerators > 0 {
		text += fmt.Sprintf(" and %d accelerators", need.Accelerators)
	}
	return text
}
