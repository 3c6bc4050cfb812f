package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a stop that is not sent again although its worker, which answered it, goes
// on listing the run.
func TestStopIsRepeatedWhileTheRunIsListed(t *testing.T) {
	is := is.New(t)
	h := cancelRunning(t)
	run := workload.RunID{Task: workload.TaskID{Submission: "s"}, Run: 1}
	h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.Rejected})
	h.advance(50 * time.Millisecond)
	h.report()
	is.Equal(h.count(stopOf("s")), 1) // the worker may still be stopping the run
	h.advance(200 * time.Millisecond)
	h.report()
	is.Equal(h.count(stopOf("s")), 2)
}
