package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

var unknownRun = workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}

// withUnknownRun returns a harness whose worker has reported a run that the owner doesn't
// have, and is not listed any more.
func withUnknownRun(t *testing.T) *harness {
	h := newHarness(t)
	h.active[unknownRun] = workload.ActiveRun{RunID: unknownRun, ProgressPercent: 10}
	h.report()
	h.handle(dispatch.WorkersListed{})
	return h
}

// Guards against an unlisted worker with an unknown run that is forgotten when one of its
// answers is lost: nobody would stop the run.
func TestUnlistedWorkerWithUnknownRunIsAskedAgain(t *testing.T) {
	is := is.New(t)
	h := withUnknownRun(t)
	is.Equal(h.count(stopOf("former")), 1)
	h.advance(200 * time.Millisecond)
	h.actions = nil
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	h.advance(200 * time.Millisecond)
	is.Equal(h.count(isHeartbeat), 1)
	h.report()
	is.Equal(h.count(stopOf("former")), 1)
}

// Guards against an unlisted worker that is asked for ever after it has gone.
func TestUnlistedWorkerWithUnknownRunIsForgottenAfterItsLease(t *testing.T) {
	is := is.New(t)
	h := withUnknownRun(t)
	for range 40 {
		h.advance(200 * time.Millisecond)
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	}
	h.actions = nil
	h.advance(time.Second)
	is.Equal(h.count(isHeartbeat), 0)
}
