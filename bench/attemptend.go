package bench

import "github.com/cactusreel/cactusreel/hostapi"

// attemptEnd is the final state of an attempt, as its worker reports it.
type attemptEnd struct {
	attempt *fakeAttempt
	state   hostapi.AttemptState
	message string
}
