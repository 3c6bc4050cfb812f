package retry

import "time"

// taskRetries holds the failures of one task.
type taskRetries struct {
	failures int
	notUntil time.Duration
	message  string
}
