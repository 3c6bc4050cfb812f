package scheduler

// agedTask is the task for which a worker's room is kept.
type agedTask struct {
	task   string
	worker string
}
