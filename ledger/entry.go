package ledger

import (
	"slices"
	"sync/atomic"

	"github.com/cactusreel/cactusreel/workload"
)

// Entry is the durable state of one submission in a cell.
type Entry struct {
	workload.Submission
	// fingerprint is that of what the caller sent, or 0 if the submission's record has none.
	// rounded is that of such a record, of which only the end is known.
	fingerprint, rounded workload.Fingerprint
	// guest: the submission belongs to another cell, which transferred tasks to this
	// one. The entry is cancelled when that cell says that the submission is final.
	guest bool
	// occurrences are allocated when they are first accessed.
	occurrences []*Occurrence
	// unfinished counts the occurrences that are not done.
	unfinished int
	// work is the estimated work of one occurrence, in seconds of a core.
	work      float64
	started   bool
	cancelled bool
	failed    bool
	// everSuspected: a task has been suspected of a crash.
	everSuspected bool
	// state is the published state. Other goroutines read it.
	state atomic.Int32
	// activity is what this process knows of the submission's runs. Other goroutines read it.
	activity atomic.Int32
}

// Values of Entry.activity.
const (
	// activityUnknown: runs that an earlier owner placed may have been active.
	activityUnknown int32 = iota
	// notActiveYet: no worker has confirmed a run.
	notActiveYet
	// hasBeenActive: a run has been active on a worker, or another cell has the task.
	hasBeenActive
)

func newEntry(s workload.Submission) *Entry {
	e := &Entry{Submission: s, occurrences: make([]*Occurrence, s.OccurrenceCount()), unfinished: s.OccurrenceCount()}
	for i := range e.Steps {
		e.work += float64(e.Steps[i].Tasks) * e.Steps[i].Work()
	}
	e.state.Store(int32(workload.Queued))
	return e
}

// State returns the state that callers see. It is safe for concurrent use.
func (e *Entry) State() workload.State { return workload.State(e.state.Load()) }

// NoteActive records that a run of the submission has been active on a worker.
func (e *Entry) NoteActive() { e.activity.Store(hasBeenActive) }

// NoteNotActive records that no run of the submission has been active as far as this
// process knows. It has no effect after NoteActive.
func (e *Entry) NoteNotActive() { e.activity.CompareAndSwap(activityUnknown, notActiveYet) }

// NoteRunNotFound records that a run which an earlier owner placed is not active. Unless
// another run has ended or is found, the submission has not been active.
func (e *Entry) NoteRunNotFound() {
	if e.activity.Load() != activityUnknown {
		return
	}
	for _, o := range e.occurrences {
		if o == nil {
			continue
		}
		for i := range o.Steps {
			if slices.ContainsFunc(o.Steps[i].Tasks, e.hasBegun) {
				e.NoteActive()
				return
			}
		}
	}
	e.NoteNotActive()
}

// hasBegun reports whether the state of a task, which may come from a snapshot, shows that a run
// of it has been active or that another cell has had it.
func (e *Entry) hasBegun(t Task) bool {
	return t.Run > 0 && !t.Open || t.Failures > 0 || t.Checkpoint != "" || !e.guest && t.Transfer > 0
}

// pending reports whether no task of the submission is known to have started. A run that is
// in the log may have been rejected, or not started yet.
func (e *Entry) pending() bool {
	state := e.State()
	return state == workload.Queued || state == workload.Running && e.activity.Load() == notActiveYet
}

// Guest reports whether the submission belongs to another cell.
func (e *Entry) Guest() bool { return e.guest }

// Work returns the estimated work of one occurrence, in seconds of a core.
func (e *Entry) Work() float64 { return e.work }

// OccurrenceCount returns the number of occurrences.
func (e *Entry) OccurrenceCount() int { return len(e.occurrences) }

// Occurrence returns the state of an occurrence, which it allocates if needed.
func (e *Entry) Occurrence(number int) *Occurrence {
	if e.occurrences[number] == nil {
		e.occurrences[number] = newOccurrence(&e.Submission, number, e.guest)
	}
	return e.occurrences[number]
}

// HasOccurrence reports whether the state of an occurrence has been allocated.
func (e *Entry) HasOccurrence(number int) bool { return e.occurrences[number] != nil }

// Task returns the state of a task, or nil if the entry has no such task.
func (e *Entry) Task(id workload.TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= len(e.occurrences) || id.Step < 0 || id.Step >= len(e.Steps) {
		return nil
	}
	tasks := e.Occurrence(id.Occurrence).Steps[id.Step].Tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return &tasks[id.Index]
}

// markDone marks a task as done and updates the counts of its step, occurrence and
// entry.
func (e *Entry) markDone(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	o := e.Occurrence(t.ID.Occurrence)
	step := &o.Steps[t.ID.Step]
	step.setAway(t, false)
	step.Unfinished--
	if step.Unfinished > 0 {
		return
	}
	o.Unfinished--
	if o.Unfinished == 0 {
		e.unfinished--
	}
}

// updateState derives the published state. A final state is never changed.
func (e *Entry) updateState() {
	state := workload.Queued
	switch {
	case e.unfinished == 0:
		state = workload.Completed
	case e.cancelled:
		state = workload.Cancelled
	case e.failed:
		state = workload.Failed
	case e.started:
		state = workload.Running
	}
	if e.State().Final() {
		return
	}
	e.state.Store(int32(state))
}
