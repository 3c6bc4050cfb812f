package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// silenceConfig is the configuration of an owner that knows nothing of its predecessors.
func silenceConfig(epoch int64) dispatch.Config {
	return dispatch.Config{
		Epoch: epoch, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: 17 * time.Second, AuthorityDuration: 10 * time.Second,
	}
}

// takeOver opens an epoch of a node that has learned of no earlier one. The list of workers
// is empty.
func (h *harness) takeOver(epoch int64) {
	h.ledger.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: epoch, VM: "b"}))
	h.machine = dispatch.New(silenceConfig(epoch), h.ledger, h.now, time.Now())
}

// placeOnSilentWorker puts a task into the log that runs on the silent worker.
func (h *harness) placeOnSilentWorker() {
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "lasting", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register"}}))
	h.ledger.Apply(ledger.PlacedRecord(workload.RunID{Task: workload.TaskID{Submission: "lasting"}, Run: 1}, silentIncarnation, ""))
}

// advanceInSteps lets time pass with a tick every 100 ms.
func (h *harness) advanceInSteps(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		h.advance(100 * time.Millisecond)
	}
}

// Guards against a wait that begins anew with each owner whose process has just started:
// such an owner can't tell how old the records of previous epochs are.
func TestNewProcessesDoNotProlongTheWaitForASilentWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.placeOnSilentWorker()
	h.ledger.Apply(ledger.SilentRecord(map[workload.Incarnation]time.Duration{silentIncarnation: 9 * time.Second}))
	for epoch := int64(2); epoch < 6; epoch++ {
		h.takeOver(epoch)
		h.advanceInSteps(3 * time.Second)
	}
	is.True(h.count(func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.RunLost
	}) > 0)
}

// Guards against an owner that waits for the leases of a worker again, after its
// predecessor had found them expired, but had no capacity to place the tasks again.
func TestSuccessorKnowsThatTheLeasesOfAnUnlistedWorkerHaveExpired(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.placeOnSilentWorker()
	h.takeOver(2)
	h.advanceInSteps(20 * time.Second)
	is.Equal(h.machine.Leases(h.now), map[workload.Incarnation]dispatch.LeaseExpiry{})
	h.takeOver(3)
	for _, left := range h.machine.Leases(h.now) {
		is.True(left.All < time.Second)
	}
}

// Guards against a worker that is listed all the time, falls silent until its runs are
// lost, and is used no more when it answers again.
func TestSilentWorkerWithoutRunsIsUsedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.silence(100 * time.Millisecond)
	isHeartbeat := func(a dispatch.Action) bool { _, ok := a.(dispatch.Heartbeat); return ok }
	for range 200 {
		h.silence(100 * time.Millisecond)
	}
	is.True(h.count(func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.RunLost
	}) > 0)
	clear(h.active)
	for range 50 {
		h.actions = nil
		h.advance(100 * time.Millisecond)
		if h.count(isHeartbeat) > 0 {
			h.report()
		}
	}
	is.Equal(len(h.active), 1)
}
