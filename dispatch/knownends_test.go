package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// quietIncarnation is a worker that is not listed and answers nothing.
var quietIncarnation = workload.Incarnation{Worker: "quiet", StartMillis: 1}

var endedRun = workload.RunID{Task: workload.TaskID{Submission: "lasting"}, Run: 1}

// endOf returns an end of the run that the log has on the quiet worker.
func endOf(outcome workload.Outcome) dispatch.KnownEnd {
	return dispatch.KnownEnd{Worker: quietIncarnation, Run: endedRun, Outcome: outcome, Checkpoint: "c"}
}

// succeedTo opens an epoch after the records have been applied. The quiet worker is not
// listed, another one is.
func succeedTo(t *testing.T, step workload.Step, records ...*ledgerpb.Record) *harness {
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "lasting", Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	h.ledger.Apply(ledger.PlacedRecord(endedRun, quietIncarnation, "silent"))
	for _, r := range records {
		h.ledger.Apply(r)
	}
	h.takeOver(2)
	h.actions = nil
	h.listWorker(workload.Worker{})
	h.report()
	return h
}

// recordedEnds returns the recorded ends of the run.
func (h *harness) recordedEnds() (ends []*ledgerpb.Ended) {
	for _, a := range h.actions {
		if a, ok := a.(dispatch.Append); ok {
			for _, r := range a.Records {
				if r.Ended != nil {
					ends = append(ends, r.Ended)
				}
			}
		}
	}
	return ends
}

// Guards against an owner that waits for the leases of a run that has ended as its
// predecessors knew, against one that runs a task again that is done, and against one that
// takes an end for that of another run.
func TestEndThatPreviousOwnersKnew(t *testing.T) {
	long, gang := plainStep, plainStep
	long.LongRunning = true
	gang.Gang, gang.Tasks = true, 2
	other := workload.Incarnation{Worker: quietIncarnation.Worker, StartMillis: quietIncarnation.StartMillis + 1}
	second := workload.RunID{Task: endedRun.Task, Run: 2}
	member := workload.RunID{Task: workload.TaskID{Submission: "lasting", Index: 1}, Run: 1}
	ledgerTask := &ledger.Task{ID: endedRun.Task}
	for name, test := range map[string]struct {
		step            workload.Step
		records         []*ledgerpb.Record
		end             dispatch.KnownEnd
		recorded, start int
	}{
		"stopped":                       {step: long, end: endOf(workload.Stopped), recorded: 1, start: 1},
		"done":                          {step: plainStep, end: endOf(workload.Succeeded), recorded: 1},
		"in the log":                    {step: long, records: []*ledgerpb.Record{ledger.EndedRecord(endedRun, workload.Stopped, "")}, end: endOf(workload.Stopped), start: 1},
		"a newer run in the log":        {step: long, records: []*ledgerpb.Record{ledger.PlacedRecord(second, quietIncarnation, "silent")}, end: endOf(workload.Stopped)},
		"the run is on another worker":  {step: long, records: []*ledgerpb.Record{ledger.PlacedRecord(second, other, "silent")}, end: endOf(workload.Stopped)},
		"another incarnation":           {step: long, end: dispatch.KnownEnd{Worker: other, Run: endedRun, Outcome: workload.Stopped}},
		"unknown outcome":               {step: long, end: endOf(workload.MembersMissing + 1)},
		"unknown submission":            {step: long, end: dispatch.KnownEnd{Worker: quietIncarnation, Run: workload.RunID{Task: workload.TaskID{Submission: "other"}, Run: 1}, Outcome: workload.Stopped}},
		"unknown task":                  {step: long, end: dispatch.KnownEnd{Worker: quietIncarnation, Run: workload.RunID{Task: workload.TaskID{Submission: "lasting", Index: 7}, Run: 1}, Outcome: workload.Stopped}},
		"cancelled":                     {step: long, records: []*ledgerpb.Record{ledger.CancelledRecord("lasting")}, end: endOf(workload.Stopped), recorded: 1},
		"away in another cell":          {step: long, records: []*ledgerpb.Record{ledger.ReleasedRecord(ledgerTask, 1, "")}, end: endOf(workload.Succeeded)},
		"gang with a member that works": {step: gang, records: []*ledgerpb.Record{ledger.PlacedRecord(member, quietIncarnation, "silent")}, end: endOf(workload.Errored), recorded: 1},
		"gang that is done":             {step: gang, records: []*ledgerpb.Record{ledger.PlacedRecord(member, quietIncarnation, "silent")}, end: endOf(workload.Succeeded), recorded: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := succeedTo(t, test.step, test.records...)
			h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{test.end}})
			// A repetition has no effect.
			h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{test.end}})
			h.advanceInSteps(time.Second)
			is.Equal(len(h.recordedEnds()), test.recorded)
			is.Equal(h.count(startOf("lasting")), test.start)
			is.Equal(len(h.machine.UnrecordedEnds()), 0)
		})
	}
}

// Guards against an end that is forgotten with an epoch whose owner was told it and could
// not record it either.
func TestEndThatWasNotRecordedIsPassedOn(t *testing.T) {
	is := is.New(t)
	h := succeedTo(t, plainStep)
	h.logStalled = true
	h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{endOf(workload.Succeeded)}})
	is.Equal(h.machine.UnrecordedEnds(), []dispatch.KnownEnd{endOf(workload.Succeeded)})
}

// Guards against an end that the worker may forget before it is in the log: it lists the
// end to an owner that is recording it because a previous owner knew it.
func TestEndIsNotAcknowledgedBeforeItIsRecorded(t *testing.T) {
	is := is.New(t)
	h := succeedTo(t, plainStep)
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{{Incarnation: quietIncarnation, Service: "register", Address: "silent"}}})
	h.logStalled = true
	h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{endOf(workload.Succeeded)}})
	list := func() {
		h.handle(dispatch.HeartbeatAnswered{Worker: quietIncarnation.Worker, SentAt: h.now, Report: workload.Report{
			Incarnation: quietIncarnation, Clock: h.now, Ended: []workload.EndedRun{{RunID: endedRun, Sequence: 1, Outcome: workload.Succeeded}},
		}})
		h.advance(time.Second)
	}
	cursor := func() (highest int64) {
		for _, a := range h.actions {
			if a, ok := a.(dispatch.Heartbeat); ok && a.Worker == quietIncarnation.Worker {
				highest = max(highest, a.Cursor)
			}
		}
		return highest
	}
	list()
	is.Equal(cursor(), int64(0))
	h.logStalled = false
	for id := range int64(10) {
		h.handle(dispatch.Appended{ID: id})
	}
	list()
	is.Equal(cursor(), int64(1))
	is.Equal(len(h.recordedEnds()), 1)
}

// Guards against a second run of a task that is done, whose owner learns of the end after it
// has given the run up.
func TestEndOfARunThatWasGivenUp(t *testing.T) {
	is := is.New(t)
	h := succeedTo(t, plainStep)
	h.handle(dispatch.WorkersListed{})
	h.advanceInSteps(20 * time.Second)
	h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{endOf(workload.Succeeded)}})
	h.listWorker(workload.Worker{})
	h.report()
	h.advanceInSteps(time.Second)
	is.Equal(h.count(startOf("lasting")), 0)
	is.Equal(h.ledger.Find("lasting").State(), workload.Completed)
}

// Guards against a successor that waits for leases of a worker of which its predecessor knew
// that it is gone: the log was away, so a run that had been placed there was still recorded.
func TestLeasesOfAWorkerThatIsGoneAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.logStalled = true
	h.submit("waiting", plainStep)
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
	h.advance(time.Second)
	is.Equal(len(h.machine.HandOver(h.now, simLease)), 0)
	is.Equal(len(h.machine.Leases(h.now)), 0)
}
