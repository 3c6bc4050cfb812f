package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

var silentIncarnation = workload.Incarnation{Worker: "w", StartMillis: 1}

// grants counts the heartbeats that grant a lease.
func grants(a dispatch.Action) bool {
	h, ok := a.(dispatch.Heartbeat)
	return ok && h.Deadline > 0
}

// silence lets the worker answer nothing for a time.
func (h *harness) silence(d time.Duration) {
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	h.advance(d)
}

// isRecorded reports whether the log has the worker as silent.
func (h *harness) isRecorded() bool {
	_, silent := h.ledger.Silence(silentIncarnation)
	return silent
}

// Guards against a lease that is granted to a worker while its recorded silence tells a
// successor that its leases have expired: the task would run twice.
func TestNoLeaseBeforeASilentWorkerIsRecordedAsHeard(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.advance(100 * time.Millisecond)
	h.silence(1800 * time.Millisecond)
	is.True(!h.isRecorded())
	h.silence(time.Second)
	is.True(h.isRecorded())

	h.logStalled = true
	h.actions = nil
	h.report()
	for range 5 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(grants), 0)
	is.Equal(len(h.machine.HandOver(h.now, 2*simLease)), 0)
	is.True(h.isRecorded())
}

// Guards against a worker that answers again and is never granted a lease.
func TestWorkerThatIsHeardAgainIsGrantedALease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.advance(100 * time.Millisecond)
	h.silence(2500 * time.Millisecond)
	is.True(h.isRecorded())
	h.report()
	is.True(!h.isRecorded())
	h.actions = nil
	h.advance(200 * time.Millisecond)
	is.Equal(h.count(grants), 1)
}

// Guards against a successor that counts the leases of a worker which a previous owner
// recorded as silent from its own takeover on.
func TestRecordedSilenceShortensTheWaitOfASuccessor(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "lasting", Queue: "q", Steps: []workload.Step{plainStep}}))
	run := workload.RunID{Task: workload.TaskID{Submission: "lasting"}, Run: 1}
	h.ledger.Apply(ledger.PlacedRecord(run, silentIncarnation, ""))
	h.ledger.Apply(ledger.SilentRecord(map[workload.Incarnation]time.Duration{silentIncarnation: 9 * time.Second}))
	h.ledger.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 2, VM: "b"}))
	h.ledger.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "c"}))
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 3, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute,
		EpochAge: func(epoch int64) time.Duration {
			is.Equal(epoch, int64(2))
			return 7 * time.Second
		},
	}, h.ledger, h.now, time.Now())
	is.Equal(h.machine.Leases(h.now), map[workload.Incarnation]dispatch.LeaseExpiry{silentIncarnation: {All: 2 * time.Second}})
	lost := func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.RunLost
	}
	h.advance(1900 * time.Millisecond)
	is.Equal(h.count(lost), 0)
	h.advance(200 * time.Millisecond)
	is.Equal(h.count(lost), 1)
}

// Guards against a worker that stays unused because it was silent for longer than its
// lease, ran nothing after that, and was never asked again.
func TestWorkerIsAskedAgainAfterALongSilence(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.advance(100 * time.Millisecond)
	for range 60 {
		h.silence(200 * time.Millisecond)
	}
	clear(h.active)
	h.actions = nil
	h.silence(200 * time.Millisecond)
	asked := func(a dispatch.Action) bool {
		_, ok := a.(dispatch.Heartbeat)
		return ok
	}
	is.Equal(h.count(asked), 1)
	h.report()
	h.advance(200 * time.Millisecond)
	h.report()
	h.submit("later", plainStep)
	is.Equal(h.count(startOf("later")), 1)
}
