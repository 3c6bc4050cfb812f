package retry

import "time"

// taskRetries holds the failures of one task.
type taskRetries struct {
	// failures is the number of failed attempts.
	failures int
	// retryAt is when the next attempt may start.
	retryAt time.Duration
	// lastFailure is the message of the last failure.
	lastFailure string
}
