package bench

import "github.com/cactusreel/cactusreel/platform"

// ending is the end of an attempt at its worker.
type ending struct {
	attempt *fakeAttempt
	state   platform.AttemptState
	message string
}
