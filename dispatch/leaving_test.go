package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// longLease is the longest lease that is granted to workers that don't drain.
const longLease = 7 * time.Second

// Guards against the tasks of a worker that drained and left that wait for a lease as long as
// that of a worker which falls silent without notice.
func TestTasksOfAWorkerThatLeftWaitForAShortLease(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithLease(t, longLease)
	h.report()
	h.submit("batch", plainStep)
	h.listWorker(workload.Worker{Draining: true, Remaining: 3 * time.Second})
	for range 4 {
		h.report()
		h.advance(time.Second)
	}
	h.report()
	left := h.now
	for h.count(lostRunOf("batch")) == 0 && h.now < left+2*longLease {
		h.advance(50 * time.Millisecond)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	}
	if wait := h.now - left; wait > 4300*time.Millisecond {
		t.Fatalf("the task of a worker that left waited %v", wait)
	}
	is.Equal(h.count(lostRunOf("batch")), 1)
}

// Guards against the lease of a draining worker that lapses while its heartbeats are answered as
// late as usual, or two in a row get no answer.
func TestLeaseOfADrainingWorkerOutlastsLostHeartbeats(t *testing.T) {
	const commandTimeout, retryDelay = 700 * time.Millisecond, 150 * time.Millisecond
	is := is.New(t)
	h := newHarnessWithLease(t, longLease)
	h.report()
	h.submit("batch", plainStep)
	h.listWorker(workload.Worker{Draining: true, Remaining: 3 * time.Second})
	h.advance(150 * time.Millisecond)
	deadline := time.Duration(0)
	lastHeartbeat := func() dispatch.Heartbeat {
		for i := len(h.actions) - 1; i >= 0; i-- {
			if hb, ok := h.actions[i].(dispatch.Heartbeat); ok {
				deadline = max(deadline, hb.Deadline)
				return hb
			}
		}
		t.Fatal("no heartbeat")
		return dispatch.Heartbeat{}
	}
	for range 12 {
		wait := lastHeartbeat().Wait
		h.advance(wait + commandTimeout)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
		h.advance(retryDelay)
		h.advance(commandTimeout)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
		h.advance(retryDelay)
		h.report()
		is.True(h.now < deadline)
		// The report makes a heartbeat due, which renews the lease.
		h.advance(150 * time.Millisecond)
	}
}

// Guards against a hand-over that prolongs the wait for the leases of a worker that leaves
// beside it.
func TestHandOverGrantsADrainingWorkerAShortLease(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithLease(t, longLease)
	h.report()
	h.submit("batch", plainStep)
	h.listWorker(workload.Worker{Draining: true, Remaining: 3 * time.Second})
	for range 4 {
		h.report()
		h.advance(time.Second)
	}
	h.report()
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	is.Equal(len(h.machine.HandOver(h.now, 10*time.Second)), 1)
	is.True(h.machine.Leases(h.now)[worker].All <= 4300*time.Millisecond)
}

func lostRunOf(id string) func(dispatch.Action) bool {
	return func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.RunLost && d.Run.Task.Submission == id
	}
}
