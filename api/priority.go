package api

// Priority orders work.
type Priority string

// Priorities.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
)
