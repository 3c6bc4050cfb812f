package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// reportedLag is by how much a reported lease is longer than the usual one.
const reportedLag = 700 * time.Millisecond

// reportedHarness is a harness whose leases are limited by what has been reported of them.
type reportedHarness struct {
	*harness
	limit time.Duration
}

func newReportedHarness(t *testing.T) *reportedHarness {
	h := &reportedHarness{harness: newHarness(t), limit: 1 << 62}
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2,
		LeaseExpiryLimit: func(workload.Incarnation) (time.Duration, bool) { return h.limit, true },
	}, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.report()
	return h
}

// reported has the leases reported as they are.
func (h *reportedHarness) reported() {
	h.limit = h.machine.ReportedLeases(h.now)[workload.Incarnation{Worker: "w", StartMillis: 1}]
}

// heartbeat returns the heartbeat that is sent next, and after which time.
func (h *reportedHarness) heartbeat() (next dispatch.Heartbeat, after time.Duration) {
	h.t.Helper()
	h.actions = nil
	for ; after < time.Second; after += 20 * time.Millisecond {
		for _, a := range h.actions {
			if b, ok := a.(dispatch.Heartbeat); ok {
				return b, after
			}
		}
		h.advance(20 * time.Millisecond)
	}
	h.t.Fatal("no heartbeat")
	return next, 0
}

// Guards against a lease that ends later than was reported, and against a worker that is asked
// again only after its usual wait when its lease is short: it would lapse after little silence.
func TestLeaseIsShortUntilTheAnswerIsReported(t *testing.T) {
	is := is.New(t)
	h := newReportedHarness(t)
	h.submit("finite", plainStep)
	h.report()
	h.reported()
	h.now += 2 * time.Second
	h.report()
	first, after := h.heartbeat()
	is.True(after <= 60*time.Millisecond)
	is.True(first.Deadline <= h.now+simLease-time.Second)
	is.True(first.Wait <= 400*time.Millisecond)
	is.True(h.now+dispatch.LeaseExpiryBound(first.Deadline-h.now) <= h.limit)
	h.reported()
	h.now += first.Wait
	h.report()
	second, _ := h.heartbeat()
	is.True(second.Deadline >= h.now+simLease-100*time.Millisecond)
	is.Equal(second.Wait, 2*time.Second)
}

// Guards against two heartbeats in place of one, each time, for a worker whose runs nobody waits
// for: its next heartbeat waits for the report of its answer, but not for long.
func TestHeartbeatWaitsForTheReportOfTheAnswer(t *testing.T) {
	is := is.New(t)
	h := newReportedHarness(t)
	lasting := plainStep
	lasting.LongRunning = true
	h.submit("lasting", lasting)
	h.report()
	h.reported()
	h.now += 2 * time.Second
	h.report()
	h.actions = nil
	h.advance(200 * time.Millisecond)
	is.Equal(h.count(func(a dispatch.Action) bool { _, ok := a.(dispatch.Heartbeat); return ok }), 0)
	h.reported()
	next, after := h.heartbeat()
	is.True(after <= 20*time.Millisecond)
	is.True(next.Deadline >= h.now+simLease-100*time.Millisecond)
	is.Equal(next.Wait, 2*time.Second)
	h.now += 2 * time.Second
	h.report()
	_, after = h.heartbeat()
	is.True(after >= 300*time.Millisecond && after <= 400*time.Millisecond)
}

// Guards against a report that says less than what has been granted, or more than the usual lease
// from the last answer on, and against a start with a lease that ends at once.
func TestReportedLeases(t *testing.T) {
	is := is.New(t)
	h := newReportedHarness(t)
	is.Equal(len(h.machine.ReportedLeases(h.now)), 0)
	h.submit("finite", plainStep)
	h.report()
	answeredAt := h.now
	h.heartbeat()
	h.reported()
	is.Equal(h.limit, answeredAt+dispatch.LeaseExpiryBound(simLease+reportedLag))
	h.now += simLease - 200*time.Millisecond
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	h.reported()
	is.Equal(h.limit, answeredAt+dispatch.LeaseExpiryBound(simLease+reportedLag))
	h.report()
	h.actions = nil
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "late", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	h.handle(dispatch.EntryChanged{Entry: e})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("late")), 0)
	h.reported()
	h.advance(300 * time.Millisecond)
	is.Equal(h.count(startOf("late")), 1)
}

// Guards against a report that leaves out the leases of earlier owners, which may end later: a
// successor would start the tasks of the worker again while they last.
func TestReportedLeasesOfEarlierOwners(t *testing.T) {
	is := is.New(t)
	h := newReportedHarness(t)
	h.submit("finite", plainStep)
	h.report()
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 2, Lease: simLease, HandoverLease: 2 * simLease, PredecessorExpiry: 4 * simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2,
	}, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.reported()
	is.Equal(h.limit, h.now+4*simLease)
	h.report()
	h.reported()
	is.Equal(h.limit, h.now+dispatch.LeaseExpiryBound(2*simLease))
}

// Guards against a lease that is taken from a worker, or that ends at once, because a report allows
// it none any more.
func TestNoLeaseIsGrantedAfterItsReportedExpiry(t *testing.T) {
	is := is.New(t)
	h := newReportedHarness(t)
	h.submit("finite", plainStep)
	h.report()
	h.limit = h.now - time.Second
	next, _ := h.heartbeat()
	is.Equal(next.Deadline, time.Duration(0))
}

// Guards against a task that runs twice: the report of an earlier life of its worker is taken for
// that of the one that has the lease.
func TestReportedLeaseIsThatOfTheIncarnation(t *testing.T) {
	const unknown, reported = 4 * simLease, simLease / 2
	is := is.New(t)
	h := newReportedHarness(t)
	h.submit("finite", plainStep)
	h.report()
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 2, Lease: simLease, PredecessorExpiry: unknown, HeartbeatWait: 2 * time.Second, RemoteFactor: 2,
	}, h.ledger, h.now, time.Now())
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	h.handle(dispatch.LeasesReported{Expiry: map[workload.Incarnation]time.Duration{{Worker: "w", StartMillis: 2}: 0}})
	is.Equal(h.machine.Leases(h.now)[worker].All, unknown)
	h.handle(dispatch.LeasesReported{Expiry: map[workload.Incarnation]time.Duration{worker: reported}})
	is.Equal(h.machine.Leases(h.now)[worker].All, reported)
	h.handle(dispatch.LeasesReported{Expiry: map[workload.Incarnation]time.Duration{worker: unknown}})
	is.Equal(h.machine.Leases(h.now)[worker].All, reported)
}
