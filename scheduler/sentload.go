package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// sentLoad is the work that was sent to a cell since its newest summary.
type sentLoad struct {
	// at is the time of the summary.
	at time.Duration
	// sum is the sum of the needs of the sent tasks.
	sum hostapi.Resources
	// jobs holds the number of sent tasks by job id.
	jobs map[string]int
}
