package hostapi

import "context"

// WorkerAgent is the agent of one worker. An error that wraps one of this
// package's Err values means that the command had no effect. The WorkerState
// that a method returns includes the worker's boot id and clock.
type WorkerAgent interface {
	// Observe returns the worker's state.
	Observe(ctx context.Context) (WorkerState, error)
	// Fence raises the worker's highest term and returns the worker's state.
	// Afterwards the worker refuses all commands with lower terms.
	Fence(ctx context.Context, term int64) (WorkerState, error)
	// Start starts an attempt. It is idempotent: repeating the start of an
	// attempt has no further effect.
	Start(ctx context.Context, s Start) error
	// Renew extends the leases of running attempts.
	Renew(ctx context.Context, c Command, renewals []Renewal) error
	// Checkpoint makes a running attempt write a checkpoint and returns the name
	// of the checkpoint.
	Checkpoint(ctx context.Context, c Command, id AttemptID) (string, error)
	// Throttle limits a running attempt to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, c Command, id AttemptID, share float64) error
	// Stop ends an attempt and returns its final report. If the worker has no
	// record of the attempt, it refuses later starts of the attempt.
	Stop(ctx context.Context, c Command, id AttemptID) (Attempt, error)
	// Forget acknowledges the end of an attempt and removes its report.
	Forget(ctx context.Context, c Command, id AttemptID) error
}
