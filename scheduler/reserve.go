package scheduler

// Reserve keeps account of the placements of a round.
type Reserve interface {
	// Admit returns why no worker may take the task now, or "".
	Admit(r *Round, t *Task) string
	// Reserve records that the task was placed on the worker.
	Reserve(r *Round, t *Task, c *Candidate)
}
