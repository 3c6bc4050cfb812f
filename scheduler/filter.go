package scheduler

// Filter is the extension point that rejects workers a task must not run on.
type Filter interface {
	// Reject returns why the worker can't run the task, as a phrase that
	// completes "no worker ...", or "" to accept it.
	Reject(r *Round, t *Task, c *Candidate) string
}
