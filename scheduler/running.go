package scheduler

// running is an attempt with its worker.
type running struct {
	worker  *Worker
	attempt *Attempt
}
