package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// RetainedRecord returns the whole state of an entry as one record, for a
// reader whose log no longer has the entry's older records.
func (e *Entry) RetainedRecord() *ledgerpb.Record {
	r := &ledgerpb.Retained{Submitted: submittedOf(&e.Submission), Cancelled: e.cancelled, Failed: e.failed}
	for number, o := range e.occurrences {
		if o == nil {
			continue
		}
		for s := range o.Steps {
			r.Tasks = appendTasks(r.Tasks, o.Steps[s].Tasks, number)
		}
	}
	return &ledgerpb.Record{Retained: r}
}

func appendTasks(out []*ledgerpb.TaskState, tasks []Task, occurrence int) []*ledgerpb.TaskState {
	for i := range tasks {
		t := &tasks[i]
		if t.Run == 0 && !t.Done {
			continue
		}
		state := &ledgerpb.TaskState{
			Occurrence: int32(occurrence), Step: int32(t.ID.Step), Index: int32(t.ID.Index),
			Done: t.Done, Run: t.Run, Failures: int32(t.Failures), Checkpoint: t.Checkpoint,
		}
		if t.Open {
			state.Worker, state.Born = t.On.Worker, t.On.Born
		}
		out = append(out, state)
	}
	return out
}

// retain applies a Retained record. An entry whose older records were read is
// at least as new, so the record changes only unknown entries and never goes back.
func (b *Book) retain(r *ledgerpb.Retained) *Entry {
	if r.Submitted == nil {
		return nil
	}
	e := b.submit(submissionOf(r.Submitted))
	e.cancelled = e.cancelled || r.Cancelled
	e.failed = e.failed || r.Failed
	for _, state := range r.Tasks {
		id := workload.TaskID{Submission: e.ID, Occurrence: int(state.Occurrence), Step: int(state.Step), Index: int(state.Index)}
		t := e.Task(id)
		if t == nil {
			continue
		}
		e.started = true
		if state.Run >= t.Run {
			t.Run, t.Failures, t.Checkpoint = state.Run, int(state.Failures), state.Checkpoint
			t.Open = state.Worker != ""
			t.On = workload.Life{Worker: state.Worker, Born: state.Born}
		}
		if state.Done {
			t.close()
			e.finish(t)
		}
	}
	b.settle(e)
	return e
}
