package scheduler

import "time"

// drainState is the progress of one drain: the number of attempts at its start
// and of the moves started since.
type drainState struct {
	since   time.Duration
	total   int
	started int
}
