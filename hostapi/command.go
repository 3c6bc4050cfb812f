package hostapi

import "time"

// Command holds the common fields of all commands to a worker agent.
type Command struct {
	// Term is the term of the sender's ownership. It is the fencing token: the
	// worker refuses a command whose term is below the highest it has seen.
	Term int64 `json:"term"`
	// Boot is the boot id of the worker incarnation that the command is intended
	// for. After a restart the worker refuses the command.
	Boot string `json:"boot"`
	// Deadline is the time on the worker's monotonic clock after which the
	// worker refuses the command.
	Deadline time.Duration `json:"deadline"`
}

// Start is the command to run an attempt.
type Start struct {
	Command
	ID       AttemptID `json:"id"`
	Kind     string    `json:"kind"`
	Service  string    `json:"service,omitempty"`
	Requests Resources `json:"requests"`
	// Checkpoint is the name of the checkpoint to resume from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// LeaseExpiry is a time on the worker's monotonic clock.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
	// Work is the declared run time of a batch task; 0 means that the task runs
	// until it is stopped.
	Work time.Duration `json:"work"`
}

// Renewal extends the lease of an attempt.
type Renewal struct {
	ID AttemptID `json:"id"`
	// LeaseExpiry is a time on the worker's monotonic clock. A value below the
	// present one has no effect.
	LeaseExpiry time.Duration `json:"leaseExpiry"`
}
