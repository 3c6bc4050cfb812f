package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// ReleasedRecord returns the record that gives a task up to another cell, with a
// checkpoint that is newer than the recorded one, or "".
func ReleasedRecord(t *Task, cell int, checkpoint string) *ledgerpb.Record {
	return &ledgerpb.Record{Released: &ledgerpb.Released{
		Task: taskMessage(t.ID), Cell: int32(cell), Transfer: t.Transfer + 1, Checkpoint: checkpoint,
	}}
}

// TransferredRecord returns the record that gives tasks of an entry, which are away from
// this cell, to another cell.
func TransferredRecord(e *Entry, tasks ...*Task) *ledgerpb.Record {
	r := returnedMessage(e, tasks)
	r.Submitted = submittedMessage(&e.Submission)
	return &ledgerpb.Record{Transferred: r}
}

// ReturnedRecord returns the record that gives finished tasks of a guest back to the
// cell of the submission.
func ReturnedRecord(e *Entry, tasks ...*Task) *ledgerpb.Record {
	return &ledgerpb.Record{Transferred: returnedMessage(e, tasks)}
}

func returnedMessage(e *Entry, tasks []*Task) *ledgerpb.Transferred {
	r := &ledgerpb.Transferred{Id: e.ID}
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, &ledgerpb.TransferredTask{
			Occurrence: int32(t.ID.Occurrence), Step: int32(t.ID.Step), Index: int32(t.ID.Index),
			Run: t.Run, Failures: int32(t.Failures), Checkpoint: t.Checkpoint, Transfer: t.Transfer, Done: t.Done,
			Suspect: t.Suspect, Evidence: int32(t.Evidence), CrashRun: t.CrashRun,
		})
	}
	return r
}

// applyReleased marks a task as away. A release whose transfer, or a later one, has
// already been applied has no effect. The submission counts as begun here; until a run
// is placed, the guest is the one that waits.
func (l *Ledger) applyReleased(r *ledgerpb.Released) *Entry {
	e, t := l.findTask(r.Task)
	if t == nil {
		return nil
	}
	e.started = true
	e.NoteActive()
	if r.Transfer <= t.Transfer || t.Done {
		l.updateState(e)
		return e
	}
	t.closeRun()
	e.setCheckpoint(t, r.Checkpoint)
	t.Transfer, t.ReleasedTo = r.Transfer, int(r.Cell)
	e.stepOf(t).setAway(t, true)
	l.updateState(e)
	return e
}

// applyTransferred takes tasks over from another cell, with a guest entry unless the
// submission belongs to this cell.
func (l *Ledger) applyTransferred(r *ledgerpb.Transferred) *Entry {
	e := l.Find(r.Id)
	if e == nil {
		if r.Submitted == nil || r.Submitted.Id != r.Id {
			return nil
		}
		e = l.addEntry(r.Submitted)
		e.guest = true
	}
	if e.State().Final() {
		return e
	}
	for _, state := range r.Tasks {
		id := workload.TaskID{Submission: e.ID, Occurrence: int(state.Occurrence), Step: int(state.Step), Index: int(state.Index)}
		if t := e.Task(id); t != nil && state.Transfer > t.Transfer {
			e.takeOver(t, state)
		}
	}
	l.updateState(e)
	return e
}

// takeOver makes a task that another cell had one of this cell.
func (e *Entry) takeOver(t *Task, state *ledgerpb.TransferredTask) {
	t.Transfer = state.Transfer
	e.stepOf(t).setAway(t, false)
	if state.Run > 0 {
		e.started = true
		e.NoteActive()
	}
	if state.Run >= t.Run {
		t.closeRun()
		t.Run, t.Failures, t.Checkpoint = state.Run, int(state.Failures), state.Checkpoint
	}
	e.mergeCrashes(t, state.Suspect, state.Evidence, state.CrashRun, nil)
	switch {
	case state.Done:
		e.markDone(t)
	case e.hopeless(t):
		e.finish(t, false)
	}
}

// stepOf returns the state of the step of a task of the entry.
func (e *Entry) stepOf(t *Task) *Step {
	return &e.Occurrence(t.ID.Occurrence).Steps[t.ID.Step]
}
