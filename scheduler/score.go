package scheduler

// Score is the extension point that rates workers for a task.
type Score interface {
	// Score returns the cost of placing the task on the worker; lower is better.
	Score(r *Round, t *Task, c *Candidate) float64
}
