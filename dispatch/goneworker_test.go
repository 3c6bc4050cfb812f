package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against heartbeats without end to a worker that left before it was told that its last
// ends are in the log.
func TestWorkerThatLeftWithUnacknowledgedEndsIsForgotten(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("batch", plainStep)
	h.report()
	ended := workload.RunID{Task: workload.TaskID{Submission: "batch"}, Run: 1}
	delete(h.active, ended)
	h.report(workload.EndedRun{RunID: ended, Sequence: 1, Outcome: workload.Succeeded})
	h.handle(dispatch.WorkersListed{})
	until := h.now + dispatch.LeaseExpiryBound(simLease) + time.Second
	for h.now < until {
		h.advance(200 * time.Millisecond)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	}
	sent := h.count(isHeartbeat)
	is.True(sent > 10)
	for range 20 {
		h.advance(200 * time.Millisecond)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	}
	is.Equal(h.count(isHeartbeat), sent)
}
