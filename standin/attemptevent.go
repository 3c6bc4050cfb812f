package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// AttemptLost is the state of attempts that ended because their worker went
// down. It occurs only in the history.
const AttemptLost hostapi.AttemptState = "lost"

// AttemptEvent is the start or the end of an attempt on a worker.
type AttemptEvent struct {
	// At is a time on the worker's clock.
	At       time.Duration
	ID       hostapi.AttemptID
	Kind     string
	Requests hostapi.Resources
	Term     int64
	// State is AttemptRunning for a start.
	State hostapi.AttemptState
	// ResumedFrom is the checkpoint that the attempt started from, or "".
	ResumedFrom string
	// Checkpoint is the attempt's newest checkpoint, or "".
	Checkpoint string
	// WorkDone is the work done so far, including work restored from a
	// checkpoint of an earlier attempt.
	WorkDone time.Duration
}
