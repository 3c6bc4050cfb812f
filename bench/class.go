package bench

import "time"

// Class is a class of batch jobs.
type Class struct {
	Kind string
	// Share is the fraction of the batch load that jobs of this class make up.
	Share float64
	// CPU of a task in thousandths of a core.
	CPU int64
	// Memory of a task in MiB.
	Memory int64
	// RunTime of a task without interference.
	RunTime time.Duration
	// Tasks is the number of tasks of a job.
	Tasks  int
	Urgent bool
	// CheckpointTime is how long it takes to write a checkpoint and to resume
	// from it.
	CheckpointTime time.Duration
}
