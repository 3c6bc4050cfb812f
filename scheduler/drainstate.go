package scheduler

import "time"

// drainState counts the moves of one drain.
type drainState struct {
	since   time.Duration
	total   int
	started int
}
