package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Attempt is a running attempt in the view of the cell's owner. Times are on the
// owner's monotonic clock.
type Attempt struct {
	ID hostapi.AttemptID
	// Job is the id of the job or service: "<name>/<version of its creation>".
	Job  string
	Team string
	Kind string
	// Service is set for a service replica and not for a batch task.
	Service bool
	Urgent  bool
	// Requests is what the attempt was assigned when it was placed.
	Requests hostapi.Resources
	// Used is the newest measured resource usage, or zero.
	Used      hostapi.Resources
	StartedAt time.Duration
	// CheckpointAt is when the newest checkpoint was taken, or StartedAt.
	CheckpointAt time.Duration
	// CheckpointCost is the expected time to write a checkpoint and resume from it.
	CheckpointCost time.Duration
	// RunTime is the declared run time of the whole task.
	RunTime time.Duration
	// Progress is from 0 to 1, as last reported.
	Progress float64
	// Throttle is the share of the assigned processors that the attempt may use;
	// 0 means all.
	Throttle float64
	// TargetRatio is the recent p99 of a service replica over the service's
	// target, or 0 when unknown.
	TargetRatio float64
	// Cancelled is set when the job was cancelled.
	Cancelled bool
	// Stopping is set while a stop or a move is under way.
	Stopping bool
}

// Reserved returns the resources that the attempt takes up on its worker: in each
// dimension the larger of the assigned and the measured amount.
func (a *Attempt) Reserved() hostapi.Resources {
	return maxResources(a.Requests, a.Used)
}

// cpuShare returns the processor share from 0 to 1; an unset throttle means 1.
func (a *Attempt) cpuShare() float64 {
	if a.Throttle <= 0 {
		return 1
	}
	return a.Throttle
}
