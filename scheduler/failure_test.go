package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// TestQuarantine guards against a faulty worker that keeps getting tasks, and fails
// them, because it always has free capacity. A successful probe must end the
// quarantine.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleQuarantine)
	for i := range 3 {
		p.ObserveOutcome(0, failedOutcome(fmt.Sprintf("job-%d/1", i), "w0000"))
	}
	s := snapshotOf(t, workersOf(1))
	plan := p.Place(time.Second, s, []Task{pendingBatch("x", resources(1, 1, 0))})
	is.Equal(len(plan.Placements), 0)
	is.Equal(plan.Unplaced[0].Reason, "pending: no worker outside quarantine has free capacity")
	urgent := pendingBatch("urgent", resources(1, 1, 0))
	urgent.Urgent = true
	plan = p.Place(time.Minute, s, []Task{urgent, pendingBatch("x", resources(1, 1, 0)), pendingBatch("y", resources(1, 1, 0))})
	is.Equal(len(plan.Placements), 1) // one probe, and never an urgent task
	is.True(plan.Placements[0].Probe)
	done := failedOutcome("x/7", "w0000")
	done.State = hostapi.AttemptCompleted
	p.ObserveOutcome(2*time.Minute, done)
	plan = p.Place(2*time.Minute, s, []Task{urgent, pendingBatch("y", resources(1, 1, 0))})
	is.Equal(len(plan.Placements), 2)
}

// TestImpossibleJob guards against a job that fails on every worker: it must not be
// retried for ever, and must not get healthy workers quarantined.
func TestImpossibleJob(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleQuarantine | RuleParking)
	for version := range 20 {
		for i := range 4 {
			p.ObserveOutcome(time.Duration(version)*time.Second, failedOutcome(fmt.Sprintf("bad/%d", version), fmt.Sprintf("w%04d", i)))
		}
	}
	bad, good := pendingBatch("bad", resources(1, 1, 0)), pendingBatch("good", resources(1, 1, 0))
	bad.Job = "bad/3"
	plan := p.Place(time.Minute, snapshotOf(t, workersOf(4)), []Task{bad, good})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, good.ID)
	is.Equal(plan.Unplaced[0].Verdict, Parked)
	is.True(strings.Contains(plan.Unplaced[0].Reason, "exit 1"))
	for i := range 4 {
		quarantined, _ := p.learned.failures.Quarantined(time.Minute, fmt.Sprintf("w%04d", i))
		is.True(!quarantined)
	}
}

// TestTrial guards against a recurring job that always fails: each new version of
// it must not fail once for each of its tasks.
func TestTrial(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleParking)
	for version := range 2 {
		for i := range 3 {
			p.ObserveOutcome(0, failedOutcome(fmt.Sprintf("bad/%d", version), fmt.Sprintf("w%04d", i)))
		}
	}
	first, second := pendingBatch("bad", resources(1, 1, 0)), pendingBatch("bad", resources(1, 1, 0))
	second.ID = "bad/7/1"
	plan := p.Place(time.Second, snapshotOf(t, workersOf(4)), []Task{first, second})
	is.Equal(len(plan.Placements), 1)
	p.ObserveOutcome(2*time.Second, failedOutcome(first.Job, "w0000"))
	plan = p.Place(3*time.Second, snapshotOf(t, workersOf(4)), []Task{second})
	is.Equal(plan.Unplaced[0].Verdict, Parked)
}

// TestOutOfMemory guards against a memory declaration that is too low and gets the
// job parked or a worker quarantined: the next attempt must get more memory.
func TestOutOfMemory(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	for i := range 4 {
		o := failedOutcome("tight/7", fmt.Sprintf("w%04d", i))
		o.Requests, o.Used = resources(1, 10, 0), resources(1, 9, 0)
		p.ObserveOutcome(0, o)
	}
	task := pendingBatch("tight", resources(1, 10, 0))
	task.ID = "tight/7/9"
	plan := p.Place(time.Minute, snapshotOf(t, workersOf(4)), []Task{task})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Requests.MemoryMiB, int64(15<<10))
}

// TestRetryBudget guards against retries without a delay and without a limit.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleRetryBudget)
	s := snapshotOf(t, workersOf(1))
	task := pendingBatch("x", resources(1, 1, 0))
	now := time.Duration(0)
	last := time.Duration(0)
	for n := range DefaultConfig().MaxRetries {
		p.ObserveOutcome(now, failedOutcome(task.Job, "w0000"))
		unplaced := p.Place(now, s, []Task{task}).Unplaced[0]
		is.Equal(unplaced.Verdict, Backoff)
		is.True(strings.Contains(unplaced.Reason, fmt.Sprintf("retry %d of 5", n+1)))
		last = unplaced.Until - now
		now = unplaced.Until
		is.Equal(len(p.Place(now, s, []Task{task}).Placements), 1)
	}
	is.True(last >= 16*time.Second) // 2 s doubled four times, less half as jitter
	p.ObserveOutcome(now, failedOutcome(task.Job, "w0000"))
	is.Equal(p.Place(now+time.Hour, s, []Task{task}).Unplaced[0].Verdict, Exhausted)
}

// TestCancelBurst guards against stopping cancelled work over several rounds.
func TestCancelBurst(t *testing.T) {
	is := is.New(t)
	workers := workersOf(50)
	for i := range workers {
		for n := range 8 {
			a := runningBatch(fmt.Sprintf("j-%d-%d", i, n), resources(8, 1, 0))
			a.Cancelled = true
			workers[i].Attempts = append(workers[i].Attempts, a)
		}
	}
	actions := newPolicy(AllRules).Act(0, snapshotOf(t, workers))
	is.Equal(len(actions), 400)
	is.Equal(actions[0].Kind, Stop)
}
