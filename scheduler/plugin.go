package scheduler

import "github.com/cactusreel/cactusreel/platform"

// Candidate is a worker that is considered for a task.
type Candidate struct {
	Worker *Worker
	// Free is what is left after the placements of this round.
	Free platform.Resources
	// Added are the tasks that this round has placed on the worker.
	Added []*Task
	// position is the worker's place in the index.
	position int
}

// Filter rejects workers that a task must not run on.
type Filter interface {
	// Reject returns why the worker can't run the task, as a phrase that
	// completes "no worker ...", or "" to accept it.
	Reject(r *Round, t *Task, c *Candidate) string
}

// Score rates workers for a task.
type Score interface {
	// Score returns the cost of placing the task on the worker; lower is better.
	Score(r *Round, t *Task, c *Candidate) float64
}

// Reserve keeps account of the placements of a round.
type Reserve interface {
	// Admit returns why no worker may take the task now, or "".
	Admit(r *Round, t *Task) string
	// Reserve records that the task was placed on the worker.
	Reserve(r *Round, t *Task, c *Candidate)
}

// plugins are the rules of one policy by extension point.
type plugins struct {
	filters  []Filter
	scores   []Score
	reserves []Reserve
}
