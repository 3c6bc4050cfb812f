package httpapi

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// AttemptRequest is the body of POST /agent/checkpoint, /agent/stop and
// /agent/forget. The answer to stop is a hostapi.Attempt.
type AttemptRequest struct {
	hostapi.Command
	ID hostapi.AttemptID `json:"id"`
}
