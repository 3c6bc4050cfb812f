package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// maxRetainedTasks limits the tasks of one Retained message, so that a snapshot
// part stays below the maximum record size of the log.
const maxRetainedTasks = 1000

// retainedMessages returns the state of an entry that is not final as one or more
// messages, each with the whole submission and a part of its tasks.
func (e *Entry) retainedMessages() []*ledgerpb.Retained {
	var tasks []*ledgerpb.TaskState
	for _, o := range e.occurrences {
		if o == nil {
			continue
		}
		for s := range o.Steps {
			tasks = appendTaskStates(tasks, o.Steps[s].Tasks)
		}
	}
	return e.messagesWith(tasks)
}

// messagesWith returns the entry with the states of some of its tasks.
func (e *Entry) messagesWith(tasks []*ledgerpb.TaskState) []*ledgerpb.Retained {
	submitted := submittedMessage(&e.Submission)
	submitted.Fingerprint = uint64(e.fingerprint)
	var out []*ledgerpb.Retained
	for len(tasks) > 0 || out == nil {
		n := min(len(tasks), maxRetainedTasks)
		out = append(out, &ledgerpb.Retained{Submitted: submitted, Cancelled: e.cancelled, Failed: e.failed, Guest: e.guest, Started: e.started, Tasks: tasks[:n]})
		tasks = tasks[n:]
	}
	return out
}

func appendTaskStates(out []*ledgerpb.TaskState, tasks []Task) []*ledgerpb.TaskState {
	for i := range tasks {
		if t := &tasks[i]; t.Run > 0 || t.Done || t.Transfer > 0 {
			out = append(out, t.message())
		}
	}
	return out
}

// message returns the state of the task.
func (t *Task) message() *ledgerpb.TaskState {
	state := &ledgerpb.TaskState{
		Occurrence: int32(t.ID.Occurrence), Step: int32(t.ID.Step), Index: int32(t.ID.Index),
		Done: t.Done, Run: t.Run, Failures: int32(t.Failures), Checkpoint: t.Checkpoint,
		Transfer: t.Transfer, Away: t.Away, ReleasedTo: int32(t.ReleasedTo),
		Suspect: t.Suspect, Evidence: int32(t.Evidence), CrashRun: t.CrashRun,
		Undecided: undecidedMessages(t.Undecided),
	}
	if t.Open {
		state.Worker, state.Born, state.Address = t.PlacedOn.Worker, t.PlacedOn.StartMillis, t.PlacedAt
		state.Order, state.FreshFrom, state.EndsConnections = t.Order, t.FreshFrom, t.EndsConnections
	}
	return state
}

// applyRetained merges the state of an entry from a snapshot. An entry whose later
// records have already been applied is at least as new and is not set back.
func (l *Ledger) applyRetained(r *ledgerpb.Retained) {
	if r.Submitted == nil {
		return
	}
	e := l.Find(r.Submitted.Id)
	if e == nil {
		e = l.addEntry(r.Submitted)
		e.guest = r.Guest
	}
	e.started = e.started || r.Started
	e.cancelled = e.cancelled || r.Cancelled
	e.failed = e.failed || r.Failed
	for _, state := range r.Tasks {
		id := workload.TaskID{Submission: e.ID, Occurrence: int(state.Occurrence), Step: int(state.Step), Index: int(state.Index)}
		if t := e.Task(id); t != nil {
			e.started = e.started || state.Run > 0
			e.applyTaskState(t, state)
		}
	}
	l.updateState(e)
}

func (e *Entry) applyTaskState(t *Task, state *ledgerpb.TaskState) {
	if state.Transfer < t.Transfer {
		return
	}
	if state.Transfer > t.Transfer {
		t.Transfer, t.ReleasedTo = state.Transfer, int(state.ReleasedTo)
		e.stepOf(t).setAway(t, state.Away)
	}
	if state.Run >= t.Run {
		t.Run, t.Failures, t.Checkpoint = state.Run, int(state.Failures), state.Checkpoint
		t.Open = state.Worker != ""
		t.PlacedOn, t.PlacedAt = workload.Incarnation{Worker: state.Worker, StartMillis: state.Born}, state.Address
		t.Order, t.FreshFrom, t.EndsConnections = state.Order, state.FreshFrom, state.EndsConnections
	}
	e.mergeCrashes(t, state.Suspect, state.Evidence, state.CrashRun, state.Undecided)
	if state.Done && e.guest {
		t.Done = true
	} else if state.Done {
		t.closeRun()
		e.markDone(t)
	}
}
