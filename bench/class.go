package bench

import "time"

// Class is a class of batch jobs.
type Class struct {
	Kind   string
	Share  float64
	CPU    int64
	Memory int64
	Run    time.Duration
	Tasks  int
	Urgent bool
	// Checkpoint is the time to write a checkpoint and resume from it.
	Checkpoint time.Duration
}
