package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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

// unlistedSuccessor returns a harness whose worker, which is not listed, runs a task of a
// submission that the previous owner started it for, and which was cancelled.
func unlistedSuccessor(t *testing.T) *harness {
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "former", Queue: "q", Steps: []workload.Step{plainStep}}))
	run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
	h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, "address"))
	h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
	return h
}

// takeOverUnlisted replaces the owner by one that does not find any worker listed.
func (h *harness) takeOverUnlisted() {
	h.actions = nil
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute, StopTime: stopTime,
	}, h.ledger, h.now, time.Now())
	h.handle(dispatch.WorkersListed{})
	h.advance(20 * time.Millisecond)
}

func stopAt(address string) func(dispatch.Action) bool {
	return func(a dispatch.Action) bool {
		s, ok := a.(dispatch.Stop)
		return ok && s.Address == address
	}
}

// Guards against a run that nobody stops because its worker, which works on, is not listed
// when the successor takes over: one that shuts down, or that lost its entry.
func TestSuccessorStopsRunsOnUnlistedWorkers(t *testing.T) {
	t.Run("cancelled before", func(t *testing.T) {
		is := is.New(t)
		h := unlistedSuccessor(t)
		h.ledger.Apply(ledger.CancelledRecord("former"))
		h.takeOverUnlisted()
		is.Equal(h.count(stopAt("address")), 1)
		h.handle(dispatch.StopAnswered{Worker: "w", Run: workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}, Answer: dispatch.NoAnswer})
		h.advance(20 * time.Millisecond)
		is.Equal(h.count(stopAt("address")), 2)
	})
	t.Run("cancelled after", func(t *testing.T) {
		is := is.New(t)
		h := unlistedSuccessor(t)
		h.takeOverUnlisted()
		is.Equal(h.count(isHeartbeat), 1)
		h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("former"))})
		is.Equal(h.count(stopAt("address")), 1)
	})
}

// Guards against a successor that starts from a snapshot and doesn't know the runs of
// cancelled submissions that its predecessor had not stopped yet.
func TestSuccessorFromASnapshotStopsRunsOfCancelledSubmissions(t *testing.T) {
	is := is.New(t)
	h := unlistedSuccessor(t)
	h.ledger.Apply(ledger.CancelledRecord("former"))
	h.takeOverUnlisted()
	for range 2 {
		var data [][]byte
		for _, p := range h.ledger.SnapshotWith(ledger.Offsets{}, h.machine.StoppingRuns()) {
			part, err := proto.Marshal(p)
			is.NoErr(err)
			data = append(data, part)
		}
		parts, err := ledger.DecodeSnapshot(data)
		is.NoErr(err)
		h.ledger = ledger.New()
		h.ledger.ApplySnapshot(parts)
		is.Equal(h.ledger.Find("former").State(), workload.Cancelled)
		h.takeOverUnlisted()
		is.Equal(h.count(stopAt("address")), 1)
	}
	// The snapshot of an owner that has stopped the run doesn't have it.
	h.handle(dispatch.StopAnswered{Worker: "w", Run: workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}, Answer: dispatch.Done})
	clear(h.active)
	h.advance(2 * stopTime)
	h.report()
	is.Equal(len(h.machine.StoppingRuns()), 0)
}

// Guards against a stop that waits for the first report of its worker after a takeover.
func TestSuccessorStopsFinalRunsAtOnce(t *testing.T) {
	is := is.New(t)
	h := successor(t)
	is.Equal(h.count(stopOf("former")), 2)
}
