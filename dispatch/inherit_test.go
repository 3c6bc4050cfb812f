package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a new owner that starts a run which the previous owner recorded and
// then gave up, in addition to the run that replaced it: the worker would have more
// tasks of the step than the submission allows.
func TestInheritedRunRespectsMaxPerWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	step := plainStep
	step.Tasks, step.MaxPerWorker = 2, 1
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "apart", Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	incarnation := workload.Incarnation{Worker: "w", StartMillis: 1}
	for index := range 2 {
		task := workload.TaskID{Submission: "apart", Index: index}
		h.ledger.Apply(ledger.PlacedRecord(workload.RunID{Task: task, Run: 1}, incarnation, ""))
	}
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
	second := workload.RunID{Task: workload.TaskID{Submission: "apart", Index: 1}, Run: 1}
	h.active[second] = workload.ActiveRun{RunID: second, ProgressPercent: 10}
	h.listWorker(workload.Worker{})
	h.report()
	for range 5 {
		h.advance(300 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(startOf("apart")), 0)
}

// Guards against two runs of a task at a time: a start may reach the worker's next
// incarnation, which has the same id, while a second run of the task is placed.
func TestStartThatReachedTheNextIncarnationIsStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("early", plainStep)
	is.Equal(h.count(startOf("early")), 1)
	h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Clock: time.Second,
		Active: []workload.ActiveRun{{RunID: workload.RunID{Task: workload.TaskID{Submission: "early"}, Run: 1}}},
	}})
	is.Equal(h.count(stopOf("early")), 1)
	is.Equal(h.count(startOf("early")), 1)
}

// Guards against a stop that is sent to an empty address and is not retried when
// the address is known.
func TestStopIsDeferredUntilAddressIsKnown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "former", Queue: "q", Steps: []workload.Step{plainStep}}))
	run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
	h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, h.ledger, h.now, time.Now())
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("former"))})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(stopOf("former")), 0)
	h.listWorker(workload.Worker{})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(stopOf("former")), 1)
}

// Guards against a worker that has left the list and is used after a takeover, because the
// log names it and its answers still arrive.
func TestWorkerThatHasLeftIsNotUsedAfterATakeover(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "old", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	run := workload.RunID{Task: workload.TaskID{Submission: "old"}, Run: 1}
	h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
	h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
	h.listWorker(workload.Worker{})
	h.report()
	h.handle(dispatch.WorkersListed{})
	h.submit("new", plainStep)
	for range 20 {
		h.advance(300 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(startOf("new")), 0)
	h.listWorker(workload.Worker{})
	h.advance(300 * time.Millisecond)
	is.Equal(h.count(startOf("new")), 1)
}
