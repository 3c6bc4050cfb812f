package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// workerWith returns a cell of one worker that two batch attempts fill.
func workerWith(first, second Attempt) []Worker {
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{first, second}
	return workers
}

// TestUrgentEvicts guards against urgent work that waits for ordinary work, and
// against ordinary work that takes the capacity freed for the urgent task.
func TestUrgentEvicts(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RulePriority | RuleNearlyDone)
	cheap, expensive := runningBatch("cheap", resources(28, 10, 0)), runningBatch("expensive", resources(28, 10, 0)) // 8 cores are free
	cheap.CheckpointAt = 9 * time.Minute
	workers := workerWith(cheap, expensive)
	urgent := pendingBatch("urgent", resources(16, 10, 0))
	urgent.Urgent = true
	now := 10 * time.Minute
	plan := p.Place(now, snapshotOf(t, workers), []Task{pendingBatch("other", resources(8, 1, 0)), urgent})
	is.Equal(len(plan.Actions), 1)
	is.Equal(plan.Actions[0].Kind, Evict)
	is.Equal(plan.Actions[0].ID, cheap.ID) // loses less work
	workers = workerWith(cheap, expensive)
	workers[0].Attempts[0].Stopping = true
	plan = p.Place(now+time.Second, snapshotOf(t, workers), []Task{pendingBatch("other", resources(8, 1, 0)), urgent})
	is.Equal(len(plan.Placements)+len(plan.Actions), 0) // no second eviction
	workers = workersOf(1)
	workers[0].Attempts = []Attempt{expensive}
	plan = p.Place(now+2*time.Second, snapshotOf(t, workers), []Task{pendingBatch("other", resources(24, 1, 0)), urgent})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, urgent.ID)
}

// TestNearlyDoneIsNotEvicted guards against evicting work that is about to end.
func TestNearlyDoneIsNotEvicted(t *testing.T) {
	is := is.New(t)
	done := runningBatch("done", resources(64, 10, 0))
	done.Progress = 0.93
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{done}
	urgent := pendingBatch("urgent", resources(16, 10, 0))
	urgent.Urgent = true
	plan := newPolicy(RulePriority|RuleNearlyDone).Place(time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 0)
	plan = newPolicy(RulePriority).Place(time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 1) // evicted with the rule off
}

// TestRetriesDoNotPreempt guards against an urgent job that always fails and evicts
// other work at each of its retries.
func TestRetriesDoNotPreempt(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	workers := workerWith(runningBatch("a", resources(32, 10, 0)), runningBatch("b", resources(32, 10, 0)))
	urgent := pendingBatch("urgent", resources(16, 10, 0))
	urgent.Urgent = true
	p.ObserveOutcome(0, failedOutcome(urgent.Job, "w9"))
	plan := p.Place(10*time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 0)
}

// TestReserve guards against ordinary work that fills the cell while urgent tasks
// arrive regularly.
func TestReserve(t *testing.T) {
	is := is.New(t)
	urgent := pendingBatch("urgent", resources(4, 1, 0))
	urgent.Urgent = true
	flood := []Task{urgent}
	for _, name := range strings.Split("a b c d e f g h i j k l m n o p", " ") {
		flood = append(flood, pendingBatch(name, resources(4, 1, 0)))
	}
	plan := newPolicy(RulePriority|RuleReserve).Place(0, snapshotOf(t, workersOf(1)), flood)
	is.Equal(len(plan.Placements), 15) // 64 cores fit 16; the capacity of one is reserved
	is.Equal(plan.Placements[0].Task, urgent.ID)
}

// TestAgeing guards against starvation of a large task because small ones take each
// core that becomes free.
func TestAgeing(t *testing.T) {
	is := is.New(t)
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{runningBatch("old", resources(40, 10, 0))}
	large := pendingBatch("large", resources(60, 10, 0))
	now := DefaultConfig().AgeLimit + time.Second
	small := pendingBatch("small", resources(4, 1, 0))
	small.PendingSince = now
	plan := newPolicy(RulePriority|RuleAgeing).Place(now, snapshotOf(t, workers), []Task{small, large})
	is.Equal(len(plan.Placements), 0)
	workers[0].Attempts = nil
	plan = newPolicy(RulePriority|RuleAgeing).Place(now, snapshotOf(t, workers), []Task{small, large})
	is.Equal(plan.Placements[0].Task, large.ID)
}
