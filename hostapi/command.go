package hostapi

import "time"

// Command is the part that all commands to a worker agent share.
type Command struct {
	// Term is the sender's ownership term.
	Term int64 `json:"term"`
	// Boot is the boot id that the command was made for.
	Boot string `json:"boot"`
	// Deadline is on the worker's monotonic clock; the worker refuses the
	// command after it.
	Deadline time.Duration `json:"deadline"`
}

// Start asks a worker to run an attempt.
type Start struct {
	Command
	ID       AttemptID `json:"id"`
	Kind     string    `json:"kind"`
	Service  string    `json:"service,omitempty"`
	Requests Resources `json:"requests"`
	// Checkpoint is the checkpoint to resume from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// LeaseExpiry is on the worker's monotonic clock.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
	// Work is the stated run time of a batch task; 0 runs until stopped.
	Work time.Duration `json:"work"`
}

// Renewal extends the lease of an attempt.
type Renewal struct {
	ID AttemptID `json:"id"`
	// LeaseExpiry is on the worker's monotonic clock. A lower value than the
	// present one changes nothing.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
}
