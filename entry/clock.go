package entry

import "time"

// Clock returns the time since the process started. It is monotonic and is not
// affected by changes of the wall clock.
type Clock func() time.Duration

// NewClock returns a clock that starts at a positive value, so that a time of 0
// can mean "never".
func NewClock() Clock {
	start := time.Now().Add(-time.Millisecond)
	return func() time.Duration {
		return time.Since(start)
	}
}
