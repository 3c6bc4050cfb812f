package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an end that needs no record and moves the cursor past an
// earlier end whose record is not on the log yet: the worker forgets the
// earlier end, and a successor starts a task again that is done.
func TestCursorStaysBelowAnUnrecordedEnd(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("done", plainStep)
	is.Equal(d.count(startOf("done")), 1)
	d.stalled = true
	run := workload.RunID{Task: workload.TaskID{Submission: "done"}, Run: 1}
	delete(d.active, run)
	ends := []workload.EndedRun{
		{RunID: run, Sequence: 1, Outcome: workload.Succeeded},
		{RunID: workload.RunID{Task: workload.TaskID{Submission: "unknown"}, Run: 1}, Sequence: 2, Outcome: workload.Succeeded},
	}
	d.report(ends...)
	for range 3 {
		d.pass(200 * time.Millisecond)
		d.report(ends...)
	}
	acknowledging := func(a dispatch.Action) bool {
		h, ok := a.(dispatch.Heartbeat)
		return ok && h.Cursor >= 1
	}
	is.Equal(d.count(acknowledging), 0)
	d.stalled = false
	for _, a := range d.actions {
		if append, ok := a.(dispatch.Append); ok {
			d.do(dispatch.Appended{Token: append.Token})
		}
	}
	d.pass(200 * time.Millisecond)
	d.report(ends...)
	d.pass(200 * time.Millisecond)
	is.True(d.count(acknowledging) > 0)
	told := func(kind dispatch.DecisionKind) func(dispatch.Action) bool {
		return func(a dispatch.Action) bool {
			decision, ok := a.(dispatch.Decision)
			return ok && decision.Kind == kind && decision.Run.Task.Submission == "done"
		}
	}
	is.Equal(d.count(told(dispatch.SubmissionBegan)), 1)
	is.Equal(d.count(told(dispatch.SubmissionEnded)), 1)
}
