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

// chooser returns the index of a worker whose free capacity fits the need, or -1.
type chooser func(free []hostapi.Resources, need hostapi.Resources) int

// baseline places tasks in order of arrival by their declared needs. It keeps no
// learned state, retries without a delay and evicts only at the end of a drain.
type baseline struct {
	random   *rand.Rand
	choose   chooser
	failures map[string]int
}

func newBaseline(random *rand.Rand, choose chooser) *baseline {
	return &baseline{random: random, choose: choose, failures: map[string]int{}}
}

// firstFit returns the first worker with enough free capacity.
func firstFit(free []hostapi.Resources, need hostapi.Resources) int {
	return slices.IndexFunc(free, need.Fits)
}

// leastLoaded returns the fitting worker with the most free processors.
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
	accepting := phase == scheduler.InService || phase == scheduler.Returning
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
		if accepting {
			at = b.choose(free, need)
		}
		if at < 0 {
			plan.Unplaced = append(plan.Unplaced, b.unplaced(now, s, t, need, accepting))
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

// unplaced returns the entry of a task without a placement. If the task has been
// pending for 3 s, or the data centre accepts no tasks, it moves to the cell with
// the most free processors that can fit it.
func (b *baseline) unplaced(now time.Duration, s *scheduler.Snapshot, t *scheduler.Task, need hostapi.Resources, accepting bool) scheduler.UnplacedTask {
	w := scheduler.UnplacedTask{Task: t.ID, Reason: "pending: no free capacity"}
	if accepting && now-t.PendingSince < 3*time.Second {
		return w
	}
	var best *scheduler.CellSummary
	for _, summary := range s.Summaries() {
		ok := summary.Phase == scheduler.InService || summary.Phase == scheduler.Returning
		if ok && summary.Cell != s.Cell() && need.Fits(summary.Largest) && (best == nil || summary.Free.MilliCPU > best.Free.MilliCPU) {
			best = &summary
		}
	}
	if best != nil {
		w.MoveTo = &best.Cell
	}
	return w
}

// Act stops cancelled attempts and evicts the others when a drain ends.
func (b *baseline) Act(now time.Duration, s *scheduler.Snapshot) []scheduler.Action {
	dc := s.DataCentre()
	evictAll := dc.Phase == scheduler.OutOfService || (dc.Phase == scheduler.Draining && now >= dc.Deadline-10*time.Second)
	var actions []scheduler.Action
	for i := range s.Len() {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			action := scheduler.Action{Kind: scheduler.Evict, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "drain"}
			if a.Cancelled {
				action.Kind = scheduler.Stop
			}
			if !a.Stopping && (a.Cancelled || evictAll) {
				actions = append(actions, action)
			}
		}
	}
	return actions
}

// ObserveUsage implements Decider; the baselines ignore usage reports.
func (b *baseline) ObserveUsage(time.Duration, *scheduler.Worker, []hostapi.Usage) {}

// ObserveOutcome implements Decider; it counts the failures of each task.
func (b *baseline) ObserveOutcome(_ time.Duration, o scheduler.Outcome) {
	if o.State == hostapi.AttemptFailed {
		b.failures[o.ID.Task]++
	}
}

// ForgetJob implements Decider; the baselines keep no state of jobs.
func (b *baseline) ForgetJob(string) {}
