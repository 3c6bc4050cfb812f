package scheduler

// Reserve is the extension point that admits tasks and accounts for the placements
// of a round.
type Reserve interface {
	// Admit returns why no worker may take the task now, or "" to admit it.
	Admit(r *Round, t *Task) string
	// Reserve records that the task was placed on the worker.
	Reserve(r *Round, t *Task, c *Candidate)
}
