package httpapi

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// AttemptRequest is the request body of POST /agent/checkpoint, /agent/stop and
// /agent/forget. The response body of /agent/stop is a hostapi.Attempt.
type AttemptRequest struct {
	hostapi.Command
	ID hostapi.AttemptID `json:"id"`
}
