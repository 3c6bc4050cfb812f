package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// usageReport is a worker's measurement of all its attempts, which is delivered
// after reportLag.
type usageReport struct {
	deliverAt time.Duration
	load      float64
	usages    []hostapi.Usage
	attempts  map[hostapi.AttemptID]attemptReport
}
