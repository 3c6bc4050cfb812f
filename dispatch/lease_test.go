package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against starts that are sent to a worker which has just gone and that
// extend its lease, as far as the owner knows: the worker's other tasks are then
// placed again seconds later.
func TestStartsExtendNoLongLease(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("lasting", plainStep)
	d.pass(100 * time.Millisecond)
	d.report()
	d.pass(100 * time.Millisecond)
	gone := d.now
	d.pass(time.Second)
	d.submit("later", plainStep)
	is.Equal(d.count(startOf("later")), 1)
	d.do(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	lost := func(a dispatch.Action) bool {
		decision, ok := a.(dispatch.Decision)
		return ok && decision.Kind == dispatch.RunLost && decision.Run.Task == workload.TaskID{Submission: "lasting"}
	}
	for d.count(lost) == 0 && d.now < gone+2*simLease {
		d.pass(20 * time.Millisecond)
	}
	is.Equal(d.count(lost), 1)
	is.True(d.now <= gone+dispatch.LeaseExpiryBound(simLease)+20*time.Millisecond)
}
