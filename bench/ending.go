package bench

import "github.com/cactusreel/cactusreel/hostapi"

// ending is the end of an attempt at its worker.
type ending struct {
	attempt *fakeAttempt
	state   hostapi.AttemptState
	message string
}
