package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against starts that extend the lease of a worker which has just failed: the
// owner would then place the worker's other tasks again seconds later.
func TestStartDoesNotExtendLongLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.advance(100 * time.Millisecond)
	h.report()
	h.advance(100 * time.Millisecond)
	gone := h.now
	h.advance(time.Second)
	h.submit("later", plainStep)
	is.Equal(h.count(startOf("later")), 1)
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	lost := func(a dispatch.Action) bool {
		decision, ok := a.(dispatch.Decision)
		return ok && decision.Kind == dispatch.RunLost && decision.Run.Task == workload.TaskID{Submission: "lasting"}
	}
	for h.count(lost) == 0 && h.now < gone+2*simLease {
		h.advance(20 * time.Millisecond)
	}
	is.Equal(h.count(lost), 1)
	is.True(h.now <= gone+dispatch.LeaseExpiryBound(simLease)+20*time.Millisecond)
}
