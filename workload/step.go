package workload

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Step is a group of equal tasks of a submission.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Request is what each task needs.
	Request hostapi.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// After lists earlier steps (from 0) whose tasks must all be done first.
	After []int
	// Checkpoints tells that a task saves its progress.
	Checkpoints bool
	// Gang tells that the tasks run only together and end together.
	Gang bool
	// SameRack tells that the tasks run slower on more than one rack.
	SameRack bool
	// Label is a label that the worker must have, or "".
	Label string
	// DataRack is the rack near the step's data, or "".
	DataRack string
	// MaxPerWorker bounds the tasks of one occurrence on a worker; 0 is no bound.
	MaxPerWorker int
	// Speculative tells that copies of a task may run at the same time.
	Speculative bool
	// LongRunning tells that the tasks run until the submission is cancelled.
	LongRunning bool
	// Image names the program; tasks of one image behave alike. May be "".
	Image string
	// LatencyTarget is the bound of a long-running task's tail latency; 0 is none.
	LatencyTarget time.Duration
	// BestEffort tells that the tasks use processor time that others leave:
	// their processors do not count against a worker's capacity.
	BestEffort bool
	// MaxUnavailable bounds how many long-running tasks may be away at a time
	// because of the scheduler's own actions; 0 means that no bound is set.
	MaxUnavailable int
}
