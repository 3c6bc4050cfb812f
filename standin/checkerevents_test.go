package standin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/standin"
)

// testHistory is a history without a breach: a task is lost with its worker
// and resumes elsewhere, a connection outlives its worker and one is opened
// just after, and two slots are used twice.
func testHistory() standin.HistoryView {
	view := func(name string) standin.WorkerView {
		return standin.WorkerView{Worker: name, DataCentre: "giza", Capacity: testCapacity, Slots: 2, ConnectionLimit: 1}
	}
	first, second := attemptOf("j/1/0", 1), attemptOf("j/1/0", 2)
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
			{Worker: "b", ID: attemptOf("k/1/0", 1), Requests: full, Start: 90, State: hostapi.AttemptRunning},
		},
		Executions: []standin.Execution{
			{RequestID: "r1", Worker: "a", Start: 20, End: 51}, // recorded after the crash
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

func breaches(t *testing.T, view standin.HistoryView) []checker.Violation {
	t.Helper()
	violations, err := checker.Check(view.CheckerEvents(), checker.DefaultBounds())
	is.New(t).NoErr(err)
	return violations
}

// Guards against a conversion that makes the checker see breaches where there
// are none, or hides them.
func TestCheckerEvents(t *testing.T) {
	is := is.New(t)
	is.Equal(len(breaches(t, testHistory())), 0)

	for _, c := range []struct {
		invariant checker.Invariant
		breakIt   func(v *standin.HistoryView)
	}{
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Attempts[2].Start = 89 }},
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Executions[2].Start = 39 }},
		{checker.NoOvercommit, func(v *standin.HistoryView) { v.Connections[3].Opened = 79 }},
		{checker.OneRunningAttempt, func(v *standin.HistoryView) {
			v.Attempts[1].Start = 49
			v.Attempts[1].ResumedFrom = "" // the checkpoint is reported later
		}},
		{checker.ExactlyOnceCompletion, func(v *standin.HistoryView) {
			v.Attempts[0].State = hostapi.AttemptStopped // its checkpoint must be used
			v.Attempts[1].ResumedFrom = ""
		}},
		{checker.AtMostOnce, func(v *standin.HistoryView) { v.Executions[1].RequestID = "r1" }},
		{checker.NoWorkWhenLeaving, func(v *standin.HistoryView) {
			v.Executions[3] = standin.Execution{RequestID: "r5", Worker: "a", Start: 70 + time.Hour}
		}},
	} {
		view := testHistory()
		c.breakIt(&view)
		found := breaches(t, view)
		is.Equal(len(found), 1)
		is.Equal(found[0].Invariant, c.invariant)
	}
}
