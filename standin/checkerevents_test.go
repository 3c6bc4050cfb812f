package standin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/standin"
)

// testHistory returns a history without violations. A task is lost with its
// worker and resumes on another, a connection is closed only after its worker
// went down, another is opened just after that, and both slots are reused.
func testHistory() standin.HistoryView {
	view := func(name string) standin.WorkerView {
		return standin.WorkerView{Worker: name, DataCentre: "giza", Capacity: testCapacity, Slots: 2, ConnectionLimit: 1}
	}
	first, second := attemptID("j/1/0", 1), attemptID("j/1/0", 2)
	full := hostapi.Resources{MilliCPU: testCapacity.MilliCPU}
	return standin.HistoryView{
		Workers: []standin.WorkerView{view("a"), view("b")},
		WorkerEvents: []standin.WorkerEvent{
			{At: 1, Worker: "a", Change: standin.WorkerUp},
			{At: 1, Worker: "b", Change: standin.WorkerUp},
			{At: 50, Worker: "a", Change: standin.WorkerDown},
			{At: 60, Worker: "a", Change: standin.WorkerUp},
			{At: 70, Worker: "a", Change: standin.WorkerLeaving},
		},
		Attempts: []standin.AttemptRun{
			{Worker: "a", ID: first, Requests: full, Start: 10, End: 50, State: standin.AttemptLost, Checkpoint: "c1"},
			{Worker: "b", ID: second, Requests: full, Start: 55, End: 90, State: hostapi.AttemptCompleted, ResumedFrom: "c1"},
			{Worker: "b", ID: attemptID("k/1/0", 1), Requests: full, Start: 90, State: hostapi.AttemptRunning},
		},
		Executions: []standin.Execution{
			{RequestID: "r1", Worker: "a", Start: 20, End: 51}, // the end is recorded after the crash
			{RequestID: "r2", Worker: "a", Start: 20, End: 40},
			{RequestID: "r3", Worker: "a", Start: 40, End: 45},
			{RequestID: "r4", Worker: "a", Start: 41, End: 41, RefusalReason: "all slots are in use"},
		},
		Connections: []standin.Connection{
			{Worker: "a", Opened: 15, Closed: 61}, // frozen: closed after the restart
			{Worker: "a", Opened: 51, Closed: 52},
			{Worker: "a", Opened: 61, Closed: 80},
			{Worker: "a", Opened: 80},
		},
	}
}

func checkHistory(t *testing.T, view standin.HistoryView) []checker.Violation {
	t.Helper()
	violations, err := checker.Check(view.CheckerEvents(), checker.DefaultBounds())
	is.New(t).NoErr(err)
	return violations
}

// Guards against a conversion that causes false violations in the checker, or
// hides real ones.
func TestCheckerEvents(t *testing.T) {
	is := is.New(t)
	is.Equal(len(checkHistory(t, testHistory())), 0)

	for _, c := range []struct {
		invariant checker.Invariant
		violate   func(v *standin.HistoryView)
	}{
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Attempts[2].Start = 89 }},
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Executions[2].Start = 39 }},
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Connections[3].Opened = 79 }},
		{checker.OneRunningAttempt, func(v *standin.HistoryView) {
			v.Attempts[1].Start = 49
			v.Attempts[1].ResumedFrom = "" // the checkpoint is reported later
		}},
		{checker.ExactlyOnceCompletion, func(v *standin.HistoryView) {
			v.Attempts[0].State = hostapi.AttemptStopped // so the next attempt must resume from its checkpoint
			v.Attempts[1].ResumedFrom = ""
		}},
		{checker.AtMostOnce, func(v *standin.HistoryView) { v.Executions[1].RequestID = "r1" }},
		{checker.NoWorkWhenLeaving, func(v *standin.HistoryView) {
			v.Executions[3] = standin.Execution{RequestID: "r5", Worker: "a", Start: 70 + time.Hour}
		}},
	} {
		view := testHistory()
		c.violate(&view)
		violations := checkHistory(t, view)
		is.Equal(len(violations), 1)
		is.Equal(violations[0].Invariant, c.invariant)
	}
}
