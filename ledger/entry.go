package ledger

import (
	"sync/atomic"

	"github.com/cactusreel/cactusreel/workload"
)

// Entry is the durable state of one submission in a cell.
type Entry struct {
	workload.Submission
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
}

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
