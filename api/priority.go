package api

// Priority is the scheduling priority of the tasks of a job.
type Priority string

// Priorities.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
)
