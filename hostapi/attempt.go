package hostapi

import "time"

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	// Task is "<job or service name>/<resource version of its creation>/<index>".
	Task string `json:"task"`
	// Attempt is the number of the attempt, from 1.
	Attempt int64 `json:"attempt"`
}

// AttemptState is the state of an attempt as reported by its worker.
type AttemptState string

// Attempt states. AttemptLapsed means that the worker stopped the attempt
// because its lease expired.
const (
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
	AttemptStopped   AttemptState = "stopped"
	AttemptLapsed    AttemptState = "lapsed"
)

// Attempt is a worker's report on an attempt. Ended attempts are reported until
// they are acknowledged with WorkerAgent.Forget.
type Attempt struct {
	ID       AttemptID    `json:"id"`
	State    AttemptState `json:"state"`
	Kind     string       `json:"kind"`
	Requests Resources    `json:"requests"`
	// LeaseExpiry is a time on the worker's monotonic clock.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
	// Checkpoint is the name of the newest checkpoint of this attempt, or "".
	Checkpoint string `json:"checkpoint"`
	// Progress is the completed fraction of the work, from 0 to 1.
	Progress float64 `json:"progress"`
	// Throttle is the share of its processors that the attempt may use, from 0 to 1.
	Throttle float64 `json:"throttle"`
	// Message is the reason why an attempt failed.
	Message string `json:"message,omitempty"`
}
