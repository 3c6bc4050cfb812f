package hostapi

import "errors"

// Errors with which a worker agent refuses a command. The command had no effect.
var (
	// ErrLowerTerm means that the worker has seen a command with a higher term.
	ErrLowerTerm = errors.New("worker has seen a higher term")
	// ErrDeadlinePassed means that the deadline had passed on the worker's clock.
	ErrDeadlinePassed = errors.New("deadline has passed on the worker's clock")
	// ErrOtherBoot means that the worker's boot id is not the one in the command,
	// because the worker has restarted.
	ErrOtherBoot = errors.New("worker has another boot id")
	// ErrNoRoom means that the worker does not have enough free resources.
	ErrNoRoom = errors.New("worker has no room for the task")
	// ErrNoAttempt means that the worker does not run the attempt.
	ErrNoAttempt = errors.New("worker does not run the attempt")
	// ErrOldAttempt means that the worker has seen a later attempt of the task.
	ErrOldAttempt = errors.New("worker has seen a later attempt of the task")
)
