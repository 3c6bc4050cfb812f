package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Task is a pending task.
type Task struct {
	// ID is "<name>/<version of the creation>/<index>".
	ID string
	// Job is the id of the job or service: "<name>/<version of its creation>".
	Job     string
	Team    string
	Kind    string
	Service bool
	Urgent  bool
	// Requests is the declared need of the task.
	Requests hostapi.Resources
	// RunTime is the declared run time of the whole task; 0 for a service.
	RunTime time.Duration
	// PendingSince is when the task's record was read from the log, on the owner's
	// clock.
	PendingSince time.Duration
	// Attempt is the number of the attempt to place, from 1.
	Attempt int64
	// Checkpoint is the checkpoint to resume from, or "".
	Checkpoint string
	// Progress is the progress stored in Checkpoint, from 0 to 1.
	Progress float64
	// MaxRetries limits the retries after failures; 0 means the policy's default.
	MaxRetries int
	// Workers restricts the task to the workers of a pool; nil means any worker.
	Workers map[string]bool
}
