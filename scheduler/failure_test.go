package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// TestQuarantine guards against a faulty worker that goes on failing the tasks
// of all jobs because it always has room, and checks that a probe ends it.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleQuarantine)
	for i := range 3 {
		p.ObserveOutcome(0, failure(fmt.Sprintf("job-%d/1", i), "w0000"))
	}
	s := snapshotOf(t, workersOf(1))
	plan := p.Place(time.Second, s, []Task{batch("x", res(1, 1, 0))})
	is.Equal(len(plan.Placements), 0)
	is.Equal(plan.Waits[0].Reason, "pending: no worker outside quarantine has room")
	urgent := batch("urgent", res(1, 1, 0))
	urgent.Urgent = true
	plan = p.Place(time.Minute, s, []Task{urgent, batch("x", res(1, 1, 0)), batch("y", res(1, 1, 0))})
	is.Equal(len(plan.Placements), 1) // one probe, and never an urgent task
	is.True(plan.Placements[0].Probe)
	done := failure("x/7", "w0000")
	done.State = hostapi.AttemptCompleted
	p.ObserveOutcome(2*time.Minute, done)
	plan = p.Place(2*time.Minute, s, []Task{urgent, batch("y", res(1, 1, 0))})
	is.Equal(len(plan.Placements), 2)
}

// TestImpossibleJob guards against two faults of one kind: a job that fails
// everywhere is retried for ever, or it gets healthy workers quarantined.
func TestImpossibleJob(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleQuarantine | RuleParking)
	for version := range 20 {
		for i := range 4 {
			p.ObserveOutcome(time.Duration(version)*time.Second, failure(fmt.Sprintf("bad/%d", version), fmt.Sprintf("w%04d", i)))
		}
	}
	bad, good := batch("bad", res(1, 1, 0)), batch("good", res(1, 1, 0))
	bad.Job = "bad/3"
	plan := p.Place(time.Minute, snapshotOf(t, workersOf(4)), []Task{bad, good})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, good.ID)
	is.Equal(plan.Waits[0].Verdict, Parked)
	is.True(strings.Contains(plan.Waits[0].Reason, "exit 1"))
	for i := range 4 {
		out, _ := p.learned.failures.Quarantined(time.Minute, fmt.Sprintf("w%04d", i))
		is.True(!out)
	}
}

// TestTrial guards against a recurring impossible job whose every version fails
// once for each of its tasks.
func TestTrial(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleParking)
	for version := range 2 {
		for i := range 3 {
			p.ObserveOutcome(0, failure(fmt.Sprintf("bad/%d", version), fmt.Sprintf("w%04d", i)))
		}
	}
	first, second := batch("bad", res(1, 1, 0)), batch("bad", res(1, 1, 0))
	second.ID = "bad/7/1"
	plan := p.Place(time.Second, snapshotOf(t, workersOf(4)), []Task{first, second})
	is.Equal(len(plan.Placements), 1)
	p.ObserveOutcome(2*time.Second, failure(first.Job, "w0000"))
	plan = p.Place(3*time.Second, snapshotOf(t, workersOf(4)), []Task{second})
	is.Equal(plan.Waits[0].Verdict, Parked)
}

// TestOutOfMemory guards against a wrong declaration that parks a job or
// quarantines a worker: the next attempt must get more memory instead.
func TestOutOfMemory(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	for i := range 4 {
		o := failure("tight/7", fmt.Sprintf("w%04d", i))
		o.Requests, o.Used = res(1, 10, 0), res(1, 9, 0)
		p.ObserveOutcome(0, o)
	}
	task := batch("tight", res(1, 10, 0))
	task.ID = "tight/7/9"
	plan := p.Place(time.Minute, snapshotOf(t, workersOf(4)), []Task{task})
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Requests.MemoryMiB, int64(15<<10))
}

// TestRetryBudget guards against retries without delay or end.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	p := newPolicy(RuleRetryBudget)
	s := snapshotOf(t, workersOf(1))
	task := batch("x", res(1, 1, 0))
	now := time.Duration(0)
	last := time.Duration(0)
	for n := range DefaultConfig().MaxRetries {
		p.ObserveOutcome(now, failure(task.Job, "w0000"))
		wait := p.Place(now, s, []Task{task}).Waits[0]
		is.Equal(wait.Verdict, Backoff)
		is.True(strings.Contains(wait.Reason, fmt.Sprintf("retry %d of 5", n+1)))
		last = wait.Until - now
		now = wait.Until
		is.Equal(len(p.Place(now, s, []Task{task}).Placements), 1)
	}
	is.True(last >= 16*time.Second) // 2 s doubled four times, less half as jitter
	p.ObserveOutcome(now, failure(task.Job, "w0000"))
	is.Equal(p.Place(now+time.Hour, s, []Task{task}).Waits[0].Verdict, Exhausted)
}

// TestCancelBurst guards against cancelled work that is stopped piecemeal.
func TestCancelBurst(t *testing.T) {
	is := is.New(t)
	workers := workersOf(50)
	for i := range workers {
		for n := range 8 {
			a := runningBatch(fmt.Sprintf("j-%d-%d", i, n), res(8, 1, 0))
			a.Cancelled = true
			workers[i].Attempts = append(workers[i].Attempts, a)
		}
	}
	actions := newPolicy(AllRules).Act(0, snapshotOf(t, workers))
	is.Equal(len(actions), 400)
	is.Equal(actions[0].Kind, Stop)
}
