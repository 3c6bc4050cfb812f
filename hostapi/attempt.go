package hostapi

import "time"

// AttemptID names one attempt of a task.
type AttemptID struct {
	// Task is "<job or service name>/<resource version of its creation>/<index>".
	Task string `json:"task"`
	// Attempt counts from 1.
	Attempt int64 `json:"attempt"`
}

// AttemptState is a worker's word on an attempt.
type AttemptState string

// Attempt states. Lapsed means that the worker stopped the attempt because its
// lease ended.
const (
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
	AttemptStopped   AttemptState = "stopped"
	AttemptLapsed    AttemptState = "lapsed"
)

// Attempt is what a worker reports about an attempt. Ended attempts are
// reported until they are acknowledged with Forget.
type Attempt struct {
	ID       AttemptID    `json:"id"`
	State    AttemptState `json:"state"`
	Kind     string       `json:"kind"`
	Requests Resources    `json:"requests"`
	// LeaseExpiry is on the worker's monotonic clock.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
	// Checkpoint names the newest checkpoint of this attempt, or "".
	Checkpoint string `json:"checkpoint"`
	// Progress is from 0 to 1.
	Progress float64 `json:"progress"`
	// Throttle is the share of its processors that the attempt may use, from 0 to 1.
	Throttle float64 `json:"throttle"`
	// Message says why an attempt failed.
	Message string `json:"message,omitempty"`
}
