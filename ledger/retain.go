package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// retainedTasks bounds the tasks of one Retained, so that a part of a snapshot
// stays below the largest record of the log.
const retainedTasks = 1000

// retained returns the state of an entry that is not final, in one or more
// pieces that each name the submission.
func (e *Entry) retained() []*ledgerpb.Retained {
	var tasks []*ledgerpb.TaskState
	for number, o := range e.occurrences {
		if o == nil {
			continue
		}
		for s := range o.Steps {
			tasks = appendTasks(tasks, o.Steps[s].Tasks, number)
		}
	}
	submitted := submittedOf(&e.Submission)
	var out []*ledgerpb.Retained
	for len(tasks) > 0 || out == nil {
		n := min(len(tasks), retainedTasks)
		out = append(out, &ledgerpb.Retained{Submitted: submitted, Cancelled: e.cancelled, Failed: e.failed, Tasks: tasks[:n]})
		tasks = tasks[n:]
	}
	return out
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
			state.Worker, state.Born = t.PlacedOn.Worker, t.PlacedOn.StartMillis
		}
		out = append(out, state)
	}
	return out
}

// retain applies the state of an entry. An entry whose later records were read
// is at least as new, so nothing goes back.
func (b *Ledger) retain(r *ledgerpb.Retained) {
	if r.Submitted == nil {
		return
	}
	e := b.submit(submissionOf(r.Submitted))
	e.cancelled = e.cancelled || r.Cancelled
	e.failed = e.failed || r.Failed
	for _, state := range r.Tasks {
		id := workload.TaskID{Submission: e.ID, Occurrence: int(state.Occurrence), Step: int(state.Step), Index: int(state.Index)}
		if t := e.Task(id); t != nil {
			e.started = true
			e.retainTask(t, state)
		}
	}
	b.settle(e)
}

func (e *Entry) retainTask(t *Task, state *ledgerpb.TaskState) {
	if state.Run >= t.Run {
		t.Run, t.Failures, t.Checkpoint = state.Run, int(state.Failures), state.Checkpoint
		t.Open = state.Worker != ""
		t.PlacedOn = workload.Incarnation{Worker: state.Worker, StartMillis: state.Born}
	}
	if state.Done {
		t.close()
		e.finish(t)
	}
}
