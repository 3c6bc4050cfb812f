package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a submission that is not counted as pending although no worker has started
// any of its tasks: its run is in the log, and its start was rejected or has no answer.
func TestSubmissionIsPendingUntilARunIsConfirmed(t *testing.T) {
	for _, answer := range []dispatch.Answer{dispatch.NoRoom, dispatch.Unhealthy, dispatch.NoAnswer} {
		t.Run(answer.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			is.Equal(h.ledger.Pending("q"), 0)
			run := h.submitUnanswered("late", plainStep)
			is.Equal(h.ledger.Find("late").State(), workload.Running)
			is.Equal(h.ledger.Pending("q"), 1)
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: answer})
			is.Equal(h.ledger.Pending("q"), 1)
			h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.Done})
			h.advance(3 * time.Second)
			h.report()
			h.advance(300 * time.Millisecond)
			is.Equal(h.ledger.Pending("q"), 0)
		})
	}
}

// Guards against the same after a takeover: the run of a previous owner is in the log, and
// the worker does not have it.
func TestSubmissionOfAPreviousOwnerIsPendingIfNoRunIsFound(t *testing.T) {
	for _, active := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t)
		h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: "former", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
		}))
		run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
		if active {
			h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
		}
		h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
		is.Equal(h.ledger.Pending("q"), 0)
		// The worker can take no second run, so that the first one is not started again.
		h.listCapacity(capacityOf(0))
		h.report()
		h.advance(300 * time.Millisecond)
		is.Equal(h.ledger.Pending("q") == 0, active)
	}
}

// Guards against a submission that counts as pending again after a takeover, because one of
// its runs is not found although another one has ended.
func TestSubmissionOfAPreviousOwnerIsNotPendingAfterAnEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	step := plainStep
	step.Tasks = 2
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "former", Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	for index := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "former", Index: index}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
	}
	h.ledger.Apply(ledger.EndedRecord(workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}, workload.Errored, ""))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
	h.listCapacity(capacityOf(0))
	h.report()
	h.advance(300 * time.Millisecond)
	is.Equal(h.ledger.Pending("q"), 0)
}
