package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Status is the status of a task in this cell.
type Status string

// Statuses.
const (
	// StatusPending tasks wait for a placement.
	StatusPending Status = "pending"
	// StatusPlaced tasks have a live attempt on a worker; View.Running
	// reports whether it is known to run.
	StatusPlaced    Status = "placed"
	StatusEvicting  Status = "evicting"
	StatusCompleted Status = "completed"
	// StatusFailed tasks have exhausted their retries.
	StatusFailed Status = "failed"
	// StatusCancelled tasks have no live attempt and never start again.
	StatusCancelled Status = "cancelled"
	// StatusMoved tasks belong to another cell.
	StatusMoved Status = "moved"
	// StatusSurplus tasks are not, or no longer, declared and have no live
	// attempt.
	StatusSurplus Status = "surplus"
)

// View describes the state of one task.
type View struct {
	Task   string `json:"task"`
	Status Status `json:"status"`
	// Attempt is the last placed attempt, 0 if there was none.
	Attempt int64 `json:"attempt"`
	// Worker of the live attempt, or "".
	Worker string `json:"worker,omitempty"`
	// Running is set once the worker has accepted the start of the live attempt
	// or reported it as running.
	Running bool `json:"running,omitempty"`
	// Checkpoint that the next attempt resumes from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts failed attempts.
	Failures int64            `json:"failures,omitempty"`
	Outcome  recordpb.Outcome `json:"outcome,omitempty"`
	Message  string           `json:"message,omitempty"`
	// Requests are the resources that the live attempt reserves or, without one,
	// those that the next attempt requests.
	Requests hostapi.Resources `json:"requests"`
	// InFlight is set while a record about the task has not been read back.
	InFlight bool `json:"inFlight,omitempty"`
}

// WorkerView describes the state of one worker.
type WorkerView struct {
	ID string `json:"id"`
	// Ready is set if attempts can be placed on the worker.
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving,omitempty"`
	Boot     string            `json:"boot,omitempty"`
	Capacity hostapi.Resources `json:"capacity"`
	// Reserved is the sum of the resources of all attempts that run or may run on
	// the worker.
	Reserved hostapi.Resources `json:"reserved"`
}

// Tasks returns all tasks of the cell in ascending order of id.
func (m *Machine) Tasks() []View {
	views := make([]View, 0, len(m.tasks))
	for _, id := range m.sortedTaskIDs() {
		views = append(views, m.viewOf(m.tasks[id]))
	}
	return views
}

// Task returns the task with the given id, or false if there is none.
func (m *Machine) Task(id string) (View, bool) {
	t, ok := m.tasks[id]
	if !ok {
		return View{}, false
	}
	return m.viewOf(t), true
}

func (m *Machine) viewOf(t *task) View {
	v := View{
		Task:       t.id,
		Status:     m.statusOf(t),
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		Failures:   t.failures,
		Outcome:    t.outcome,
		Message:    t.message,
		Requests:   m.nextRequests(t),
		InFlight:   t.inFlight != nil,
	}
	if t.live {
		v.Worker, v.Running, v.Requests = t.worker, t.started, t.requests
	}
	return v
}
