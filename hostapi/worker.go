package hostapi

import "context"

// WorkerAgent is the agent of one worker. Each method returns the worker's
// boot id and clock with its answer. All errors of this package's Err values
// mean that the command had no effect.
type WorkerAgent interface {
	// Observe returns the worker's state.
	Observe(ctx context.Context) (WorkerState, error)
	// Fence raises the worker's highest term. After it the worker refuses all
	// commands of lower terms.
	Fence(ctx context.Context, term int64) (WorkerState, error)
	// Start starts an attempt. A repeated start of the same attempt is the same start.
	Start(ctx context.Context, s Start) error
	// Renew extends leases of running attempts.
	Renew(ctx context.Context, c Command, renewals []Renewal) error
	// Checkpoint asks a running attempt for a checkpoint and returns its name.
	Checkpoint(ctx context.Context, c Command, id AttemptID) (string, error)
	// Throttle limits a running attempt to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, c Command, id AttemptID, share float64) error
	// Stop ends an attempt and returns its final report. An attempt that the
	// worker does not know can't be started there afterwards.
	Stop(ctx context.Context, c Command, id AttemptID) (Attempt, error)
	// Forget removes the report of an ended attempt.
	Forget(ctx context.Context, c Command, id AttemptID) error
}
