package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// sentLoad is what was sent to a cell since its summary was made.
type sentLoad struct {
	at   time.Duration
	sum  hostapi.Resources
	jobs map[string]int
}
