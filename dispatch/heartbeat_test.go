package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an end without a record that moves the cursor past an earlier end
// whose record is not in the log yet: the worker discards the earlier end, and the
// next owner starts a task again that is done.
func TestCursorStaysBelowAnUnrecordedEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("done", plainStep)
	is.Equal(h.count(startOf("done")), 1)
	h.logStalled = true
	run := workload.RunID{Task: workload.TaskID{Submission: "done"}, Run: 1}
	delete(h.active, run)
	ends := []workload.EndedRun{
		{RunID: run, Sequence: 1, Outcome: workload.Succeeded},
		{RunID: workload.RunID{Task: workload.TaskID{Submission: "unknown"}, Run: 1}, Sequence: 2, Outcome: workload.Succeeded},
	}
	h.report(ends...)
	for range 3 {
		h.advance(200 * time.Millisecond)
		h.report(ends...)
	}
	acknowledges := func(a dispatch.Action) bool {
		heartbeat, ok := a.(dispatch.Heartbeat)
		return ok && heartbeat.Cursor >= 1
	}
	is.Equal(h.count(acknowledges), 0)
	h.logStalled = false
	for _, a := range h.actions {
		if append, ok := a.(dispatch.Append); ok {
			h.handle(dispatch.Appended{ID: append.ID})
		}
	}
	h.advance(200 * time.Millisecond)
	h.report(ends...)
	h.advance(200 * time.Millisecond)
	is.True(h.count(acknowledges) > 0)
	decided := func(kind dispatch.DecisionKind) func(dispatch.Action) bool {
		return func(a dispatch.Action) bool {
			decision, ok := a.(dispatch.Decision)
			return ok && decision.Kind == kind && decision.Run.Task.Submission == "done"
		}
	}
	is.Equal(h.count(decided(dispatch.SubmissionBegan)), 1)
	is.Equal(h.count(decided(dispatch.SubmissionEnded)), 1)
}

// Guards against a run that ended without being listed, because a worker lists a limited
// number of ends, and that counts as lost: its task would run a second time.
func TestRunBeyondTheListedEndsIsKept(t *testing.T) {
	for name, stopped := range map[string]bool{"running": false, "being stopped without progress": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			h.submit("first", plainStep)
			h.submit("second", plainStep)
			h.logStalled = true
			for id := range h.active {
				h.active[id] = workload.ActiveRun{RunID: id, ProgressPercent: 10}
			}
			for i := 0; stopped && i < 20; i++ {
				h.advance(100 * time.Millisecond)
				h.report()
			}
			stops := h.count(stopOf("second"))
			is.Equal(stops > 0, stopped)
			clear(h.active)
			first := workload.EndedRun{RunID: workload.RunID{Task: workload.TaskID{Submission: "first"}, Run: 1}, Sequence: 1, Outcome: workload.Succeeded}
			second := workload.EndedRun{RunID: workload.RunID{Task: workload.TaskID{Submission: "second"}, Run: 1}, Sequence: 2, Outcome: workload.Succeeded}
			for range 20 {
				h.advance(200 * time.Millisecond)
				h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{
					Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Clock: h.now, Ended: []workload.EndedRun{first}, EndsIncomplete: true,
				}})
			}
			is.Equal(h.count(stopOf("second")), stops)
			h.logStalled = false
			for _, a := range h.actions {
				if append, ok := a.(dispatch.Append); ok {
					h.handle(dispatch.Appended{ID: append.ID})
				}
			}
			h.report(second)
			h.advance(time.Second)
			h.report(second)
			is.Equal(h.count(startOf("second")), 1)
			is.Equal(h.ledger.Find("second").State(), workload.Completed)
		})
	}
}
