package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Status is the state of a task in this cell.
type Status string

// Statuses.
const (
	// StatusPending tasks wait for a placement.
	StatusPending Status = "pending"
	// StatusPlaced attempts have a worker; whether they run already is the
	// worker's word (View.Running).
	StatusPlaced    Status = "placed"
	StatusEvicting  Status = "evicting"
	StatusCompleted Status = "completed"
	// StatusFailed tasks have used up their retries.
	StatusFailed Status = "failed"
	// StatusCancelled tasks never start again; their last attempt has ended.
	StatusCancelled Status = "cancelled"
	// StatusMoved tasks belong to another cell.
	StatusMoved Status = "moved"
	// StatusSurplus tasks are not declared (any more) and have no live attempt.
	StatusSurplus Status = "surplus"
)

// View is what the machine knows of a task.
type View struct {
	Task   string `json:"task"`
	Status Status `json:"status"`
	// Attempt is the last placed attempt, 0 if there was none.
	Attempt int64 `json:"attempt"`
	// Worker of the live attempt, or "".
	Worker string `json:"worker,omitempty"`
	// Running means that the worker has reported the attempt as running.
	Running bool `json:"running,omitempty"`
	// Checkpoint that the next attempt resumes from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts failed attempts.
	Failures int64            `json:"failures,omitempty"`
	Outcome  recordpb.Outcome `json:"outcome,omitempty"`
	Message  string           `json:"message,omitempty"`
	// Requests is what the live attempt reserves, or what the next one needs.
	Requests hostapi.Resources `json:"requests"`
	// InFlight means that a record about the task awaits its read-back.
	InFlight bool `json:"inFlight,omitempty"`
}

// WorkerView is what the machine knows of a worker.
type WorkerView struct {
	ID string `json:"id"`
	// Ready means that attempts can be placed on it.
	Ready    bool              `json:"ready"`
	Leaving  bool              `json:"leaving,omitempty"`
	Boot     string            `json:"boot,omitempty"`
	Capacity hostapi.Resources `json:"capacity"`
	// Reserved is the sum of all attempts that run or may run on it.
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

// Task returns one task.
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
