package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// stopTime is the time that the worker of the harness takes to stop a run.
const stopTime = 900 * time.Millisecond

// successor returns a harness whose worker runs two tasks of a submission that was
// cancelled under the previous owner, and a waiting submission that does not fit beside
// them.
func successor(t *testing.T) *harness {
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "former", Queue: "q", Steps: []workload.Step{stepOfSize(2, 32)}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	for index := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "former", Index: index}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
		h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
	}
	h.ledger.Apply(ledger.CancelledRecord("former"))
	config := dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute, StopTime: stopTime}
	h.machine = dispatch.New(config, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.submit("next", stepOfSize(1, 16))
	return h
}

// Guards against a successor that fills a worker on which runs of a submission that became
// final under the previous owner are still active: they count until their end is listed.
func TestRunsOfFinalSubmissionsCountAfterTakeover(t *testing.T) {
	is := is.New(t)
	h := successor(t)
	h.report()
	h.advance(20 * time.Millisecond)
	is.True(h.count(stopOf("former")) >= 2)
	is.Equal(h.count(startOf("next")), 0)
	h.end("former", 0)
	is.Equal(h.count(startOf("next")), 1)
}

// Guards against the same while the runs are being stopped: the worker then lists them
// neither as active nor as ended.
func TestStoppedRunsOfFinalSubmissionsCountAfterTakeover(t *testing.T) {
	is := is.New(t)
	h := successor(t)
	clear(h.active)
	h.report()
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("next")), 0)
	for range 2 {
		h.handle(dispatch.StopAnswered{Worker: "w", Run: workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}, Answer: dispatch.Done})
		h.handle(dispatch.StopAnswered{Worker: "w", Run: workload.RunID{Task: workload.TaskID{Submission: "former", Index: 1}, Run: 1}, Answer: dispatch.Done})
		h.advance(stopTime / 2)
		h.report()
		is.Equal(h.count(startOf("next")), 0)
	}
	h.advance(stopTime)
	h.report()
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("next")), 1)
}

// Guards against a successor that fills a worker with an active run of which it knows only
// that its submission is final, and against a lost stop of that run that is not repeated.
func TestWorkerWithUnknownRunsGetsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
	h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
	config := dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute, StopTime: stopTime}
	h.machine = dispatch.New(config, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.submit("next", stepOfSize(1, 16))
	for i := range 5 {
		sent := h.count(isHeartbeat)
		h.report()
		h.advance(stopTime)
		is.Equal(h.count(stopOf("former")), i+1)
		is.Equal(h.count(startOf("next")), 0)
		is.Equal(h.count(isHeartbeat), sent+1)
	}
	// The worker lists a run that it stops neither as active nor as ended.
	delete(h.active, run)
	h.report()
	is.Equal(h.count(startOf("next")), 0)
	h.advance(stopTime)
	is.Equal(h.count(startOf("next")), 1)
}

func isHeartbeat(a dispatch.Action) bool {
	_, ok := a.(dispatch.Heartbeat)
	return ok
}
