package scheduler

// runningAttempt is an attempt with its worker.
type runningAttempt struct {
	worker  *Worker
	attempt *Attempt
}
