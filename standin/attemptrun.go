package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// AttemptRun is the execution of an attempt on a worker. Times are in
// nanoseconds since the stand-in started.
type AttemptRun struct {
	Worker     string            `json:"worker"`
	DataCentre string            `json:"dataCentre"`
	Boot       string            `json:"boot"`
	ID         hostapi.AttemptID `json:"id"`
	Kind       string            `json:"kind"`
	Requests   hostapi.Resources `json:"requests"`
	// Term is the term of the start command.
	Term  int64         `json:"term"`
	Start time.Duration `json:"start"`
	// End is 0 while the attempt is running.
	End   time.Duration        `json:"end"`
	State hostapi.AttemptState `json:"state"`
	// ResumedFrom is the checkpoint that the run started from, or "".
	ResumedFrom string `json:"resumed,omitempty"`
	// Checkpoint is the newest checkpoint of an ended run, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// WorkDoneAtStart and WorkDoneAtEnd are in nanoseconds of work.
	WorkDoneAtStart time.Duration `json:"doneAtStart"`
	WorkDoneAtEnd   time.Duration `json:"doneAtEnd"`
}
