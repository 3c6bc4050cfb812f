package ledger

import (
	"sync/atomic"

	"github.com/cactusreel/cactusreel/workload"
)

// Entry is the durable state of one submission.
type Entry struct {
	workload.Submission
	// Occurrences are made when they are first needed.
	occurrences []*Occurrence
	left        int
	started     bool
	cancelled   bool
	failed      bool
	// state is read by other goroutines.
	state atomic.Int32
}

func newEntry(s workload.Submission) *Entry {
	e := &Entry{Submission: s, occurrences: make([]*Occurrence, s.OccurrenceCount()), left: s.OccurrenceCount()}
	e.state.Store(int32(workload.Queued))
	return e
}

// State returns the state that callers are told. It may be called by any
// goroutine.
func (e *Entry) State() workload.State { return workload.State(e.state.Load()) }

// OccurrenceCount returns the number of occurrences.
func (e *Entry) OccurrenceCount() int { return len(e.occurrences) }

// Occurrence returns the state of an occurrence.
func (e *Entry) Occurrence(number int) *Occurrence {
	if e.occurrences[number] == nil {
		e.occurrences[number] = newOccurrence(&e.Submission, number)
	}
	return e.occurrences[number]
}

// HasOccurrence tells whether a record was read of an occurrence.
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

// finish marks a task as done, and with it what that completes.
func (e *Entry) finish(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	o := e.Occurrence(t.ID.Occurrence)
	step := &o.Steps[t.ID.Step]
	step.Unfinished--
	if step.Unfinished > 0 {
		return
	}
	o.Unfinished--
	if o.Unfinished == 0 {
		e.left--
	}
}

// publish derives the state that callers are told.
func (e *Entry) publish() {
	state := workload.Queued
	switch {
	case e.left == 0:
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
