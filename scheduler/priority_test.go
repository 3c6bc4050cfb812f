package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullWorker returns a cell of one worker that two batch attempts fill.
func fullWorker(first, second Attempt) []Worker {
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{first, second}
	return workers
}

// TestUrgentEvicts guards against urgent work that waits for ordinary work, and
// against ordinary work that takes the room cleared for it.
func TestUrgentEvicts(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RulePriority | RuleNearlyDone)
	cheap, dear := runningBatch("cheap", res(28, 10, 0)), runningBatch("dear", res(28, 10, 0)) // 8 cores are free
	cheap.CheckpointAt = 9 * time.Minute
	workers := fullWorker(cheap, dear)
	urgent := batch("urgent", res(16, 10, 0))
	urgent.Urgent = true
	now := 10 * time.Minute
	plan := p.Place(now, snapshotOf(t, workers), []Task{batch("other", res(8, 1, 0)), urgent})
	is.Equal(len(plan.Actions), 1)
	is.Equal(plan.Actions[0].Kind, Evict)
	is.Equal(plan.Actions[0].ID, cheap.ID) // loses less work
	workers = fullWorker(cheap, dear)
	workers[0].Attempts[0].Stopping = true
	plan = p.Place(now+time.Second, snapshotOf(t, workers), []Task{batch("other", res(8, 1, 0)), urgent})
	is.Equal(len(plan.Placements)+len(plan.Actions), 0) // no second eviction
	workers = workersOf(1)
	workers[0].Attempts = []Attempt{dear}
	plan = p.Place(now+2*time.Second, snapshotOf(t, workers), []Task{batch("other", res(24, 1, 0)), urgent})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, urgent.ID)
}

// TestNearlyDoneIsSpared guards against evicting work that is about to end.
func TestNearlyDoneIsSpared(t *testing.T) {
	is := is.New(t)
	done := runningBatch("done", res(64, 10, 0))
	done.Progress = 0.93
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{done}
	urgent := batch("urgent", res(16, 10, 0))
	urgent.Urgent = true
	plan := newPolicy(RulePriority|RuleNearlyDone).Place(time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 0)
	plan = newPolicy(RulePriority).Place(time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 1) // the rule makes the difference
}

// TestRetriesEvictNothing guards against an impossible urgent job that evicts
// work at each of its retries.
func TestRetriesEvictNothing(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	workers := fullWorker(runningBatch("a", res(32, 10, 0)), runningBatch("b", res(32, 10, 0)))
	urgent := batch("urgent", res(16, 10, 0))
	urgent.Urgent = true
	p.ObserveOutcome(0, failure(urgent.Job, "w9"))
	plan := p.Place(10*time.Minute, snapshotOf(t, workers), []Task{urgent})
	is.Equal(len(plan.Actions), 0)
}

// TestReserve guards against ordinary work that fills the cell while urgent work
// keeps arriving.
func TestReserve(t *testing.T) {
	is := is.New(t)
	urgent := batch("urgent", res(4, 1, 0))
	urgent.Urgent = true
	flood := []Task{urgent}
	for _, name := range strings.Split("a b c d e f g h i j k l m n o p", " ") {
		flood = append(flood, batch(name, res(4, 1, 0)))
	}
	plan := newPolicy(RulePriority|RuleReserve).Place(0, snapshotOf(t, workersOf(1)), flood)
	is.Equal(len(plan.Placements), 15) // 64 cores hold 16; one place is kept
	is.Equal(plan.Placements[0].Task, urgent.ID)
}

// TestAgeing guards against starvation: a large task that never finds room
// because small ones take each core that becomes free.
func TestAgeing(t *testing.T) {
	is := is.New(t)
	workers := workersOf(1)
	workers[0].Attempts = []Attempt{runningBatch("old", res(40, 10, 0))}
	large := batch("large", res(60, 10, 0))
	now := DefaultConfig().AgeLimit + time.Second
	small := batch("small", res(4, 1, 0))
	small.PendingSince = now
	plan := newPolicy(RulePriority|RuleAgeing).Place(now, snapshotOf(t, workers), []Task{small, large})
	is.Equal(len(plan.Placements), 0)
	workers[0].Attempts = nil
	plan = newPolicy(RulePriority|RuleAgeing).Place(now, snapshotOf(t, workers), []Task{small, large})
	is.Equal(plan.Placements[0].Task, large.ID)
}
