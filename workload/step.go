package workload

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Step is a group of identical tasks of a submission.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Request is the resource request of each task.
	Request hostapi.Resources
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration
	// After lists the indexes (from 0) of earlier steps. All tasks of these steps
	// must be done before this step starts.
	After []int
	// Checkpoints is true if the tasks save their progress in checkpoints.
	Checkpoints bool
	// Gang is true if the tasks must be started together and end together (gang
	// scheduling).
	Gang bool
	// SameRack is true if the tasks run slower when spread over several racks.
	SameRack bool
	// Label is a label that the worker must have; "" means none is required.
	Label string
	// DataRack is the rack closest to the step's data, or "" if there is none.
	DataRack string
	// MaxPerWorker limits the tasks of one occurrence on a worker; 0 means no limit.
	MaxPerWorker int
	// Speculative is true if several copies of a task may run at the same time.
	Speculative bool
	// LongRunning is true if the tasks run until the submission is cancelled.
	LongRunning bool
	// Image names the program; tasks of one image are assumed to behave alike. It
	// may be empty.
	Image string
	// LatencyTarget limits the tail latency of a long-running task; 0 means no
	// target.
	LatencyTarget time.Duration
	// BestEffort is true if the tasks use only CPU time that other tasks leave
	// idle: their CPU request does not count against a worker's capacity.
	BestEffort bool
	// MaxUnavailable limits how many long-running tasks the scheduler itself may
	// make unavailable at a time; 0 means no limit.
	MaxUnavailable int
}

// Work returns the estimated work of a task, in seconds of a core.
func (s *Step) Work() float64 { return s.Estimate.Seconds() * float64(s.Request.MilliCPU) / 1000 }

// validate returns an error if a number of the step is out of range. A negative
// request would make room on a worker that it does not have.
func (s *Step) validate() error {
	q := s.Request
	switch {
	case s.Tasks <= 0 || s.Tasks > MaxTasks:
		return fmt.Errorf("has %d tasks", s.Tasks)
	case q.MilliCPU < 0 || q.MemoryMiB < 0 || q.Accelerators < 0:
		return fmt.Errorf("requests a negative amount: %+v", q)
	case s.Estimate < 0 || s.LatencyTarget < 0:
		return fmt.Errorf("has a negative duration")
	}
	return nil
}
