package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a new owner that starts a run which the former one recorded
// and gave up, beside the run that got its place: more tasks of the step would
// be on the worker than the submission allows.
func TestInheritedRunKeepsTheBoundPerWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	step := plainStep
	step.Tasks, step.MaxPerWorker = 2, 1
	d.book.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "apart", Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	life := workload.Incarnation{Worker: "w", StartMillis: 1}
	for index := range 2 {
		task := workload.TaskID{Submission: "apart", Index: index}
		d.book.Apply(ledger.PlacedRecord(workload.RunID{Task: task, Run: 1}, life))
	}
	d.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, d.book, d.now, time.Now())
	second := workload.RunID{Task: workload.TaskID{Submission: "apart", Index: 1}, Run: 1}
	d.active[second] = workload.ActiveRun{RunID: second, ProgressPercent: 10}
	d.list(workload.Worker{})
	d.report()
	for range 5 {
		d.pass(300 * time.Millisecond)
		d.report()
	}
	is.Equal(d.count(startOf("apart")), 0)
}

// Guards against a start that reached the worker's next life, which has the
// same id, and a second run of the task placed beside it.
func TestStartThatReachedTheNextLifeIsStopped(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("early", plainStep)
	is.Equal(d.count(startOf("early")), 1)
	d.do(dispatch.HeartbeatAnswered{Worker: "w", SentAt: d.now, Report: workload.Report{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Clock: time.Second,
		Active: []workload.ActiveRun{{RunID: workload.RunID{Task: workload.TaskID{Submission: "early"}, Run: 1}}},
	}})
	is.Equal(d.count(stopOf("early")), 1)
	is.Equal(d.count(startOf("early")), 1)
}

// Guards against a stop that is sent to an empty address, and then not sent
// when the address is known.
func TestStopWaitsForTheAddress(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.book.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "former", Queue: "q", Steps: []workload.Step{plainStep}}))
	run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
	d.book.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}))
	d.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, d.book, d.now, time.Now())
	d.do(dispatch.EntryChanged{Entry: d.book.Apply(ledger.CancelledRecord("former"))})
	d.pass(20 * time.Millisecond)
	is.Equal(d.count(stopOf("former")), 0)
	d.list(workload.Worker{})
	d.pass(20 * time.Millisecond)
	is.Equal(d.count(stopOf("former")), 1)
}
