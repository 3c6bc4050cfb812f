package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// baselineRetries bounds the failed attempts of a task.
const baselineRetries = 5

// chooser returns the position of a worker for a need, or -1.
type chooser func(free []hostapi.Resources, need hostapi.Resources) int

// baseline places tasks in order of arrival by their declared needs. It learns
// nothing, retries at once and evicts only at the end of a drain.
type baseline struct {
	random   *rand.Rand
	choose   chooser
	failures map[string]int
}

func newBaseline(random *rand.Rand, choose chooser) *baseline {
	return &baseline{random: random, choose: choose, failures: map[string]int{}}
}

// firstFit returns the first worker with room.
func firstFit(free []hostapi.Resources, need hostapi.Resources) int {
	return slices.IndexFunc(free, need.Fits)
}

// leastLoaded returns the worker with the most processors free.
func leastLoaded(free []hostapi.Resources, need hostapi.Resources) int {
	best := -1
	for i, f := range free {
		if need.Fits(f) && (best < 0 || f.MilliCPU > free[best].MilliCPU) {
			best = i
		}
	}
	return best
}

// Place implements Decider.
func (b *baseline) Place(now time.Duration, s *scheduler.Snapshot, pending []scheduler.Task) scheduler.Plan {
	plan := scheduler.Plan{SnapshotVersion: s.Version()}
	sorted := slices.Clone(pending)
	slices.SortStableFunc(sorted, func(x, y scheduler.Task) int { return int(x.PendingSince - y.PendingSince) })
	phase := s.DataCentre().Phase
	takes := phase == scheduler.InService || phase == scheduler.Returning
	free := make([]hostapi.Resources, s.Len())
	for i := range free {
		free[i] = s.At(i).Free()
	}
	for i := range sorted {
		t := &sorted[i]
		if b.failures[t.ID] > baselineRetries {
			plan.Unplaced = append(plan.Unplaced, scheduler.UnplacedTask{Task: t.ID, Verdict: scheduler.Exhausted, Reason: "failed"})
			continue
		}
		need := t.Requests
		need.MilliCPU = min(need.MilliCPU, s.At(0).Capacity.MilliCPU)
		need.MemoryMiB = min(need.MemoryMiB, s.At(0).Capacity.MemoryMiB)
		at := -1
		if takes {
			at = b.choose(free, need)
		}
		if at < 0 {
			plan.Unplaced = append(plan.Unplaced, b.wait(now, s, t, need, takes))
			continue
		}
		free[at] = free[at].Sub(need)
		w := s.At(at)
		plan.Placements = append(plan.Placements, scheduler.Placement{
			Task: t.ID, Attempt: t.Attempt, Worker: w.ID, Boot: w.Boot, Requests: need, Reason: "placed",
		})
	}
	return plan
}

// wait names the cell with the most room for a task that has waited.
func (b *baseline) wait(now time.Duration, s *scheduler.Snapshot, t *scheduler.Task, need hostapi.Resources, takes bool) scheduler.UnplacedTask {
	w := scheduler.UnplacedTask{Task: t.ID, Reason: "pending: no room"}
	if takes && now-t.PendingSince < 3*time.Second {
		return w
	}
	var best *scheduler.CellSummary
	for _, sum := range s.Summaries() {
		ok := sum.Phase == scheduler.InService || sum.Phase == scheduler.Returning
		if ok && sum.Cell != s.Cell() && need.Fits(sum.Largest) && (best == nil || sum.Free.MilliCPU > best.Free.MilliCPU) {
			best = &sum
		}
	}
	if best != nil {
		w.MoveTo = &best.Cell
	}
	return w
}

// Act stops cancelled work and evicts the rest when a drain ends.
func (b *baseline) Act(now time.Duration, s *scheduler.Snapshot) []scheduler.Action {
	dc := s.DataCentre()
	over := dc.Phase == scheduler.OutOfService || (dc.Phase == scheduler.Draining && now >= dc.Deadline-10*time.Second)
	var actions []scheduler.Action
	for i := range s.Len() {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			action := scheduler.Action{Kind: scheduler.Evict, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "drain"}
			if a.Cancelled {
				action.Kind = scheduler.Stop
			}
			if !a.Stopping && (a.Cancelled || over) {
				actions = append(actions, action)
			}
		}
	}
	return actions
}

// ObserveUsage ignores reports.
func (b *baseline) ObserveUsage(time.Duration, *scheduler.Worker, []hostapi.Usage) {}

// ObserveOutcome counts failures.
func (b *baseline) ObserveOutcome(_ time.Duration, o scheduler.Outcome) {
	if o.State == hostapi.AttemptFailed {
		b.failures[o.ID.Task]++
	}
}

// ForgetJob does nothing.
func (b *baseline) ForgetJob(string) {}
