package scheduler

// runningAttempt is an attempt together with its worker.
type runningAttempt struct {
	worker  *Worker
	attempt *Attempt
}
