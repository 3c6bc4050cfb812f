package bench

import "time"

// scheduled is something that takes effect later.
type scheduled struct {
	at  time.Duration
	run func()
}
