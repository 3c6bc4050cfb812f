package bench

import "time"

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	run func()
}
