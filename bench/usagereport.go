package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// usageReport is a worker's lagging measurement of all its attempts.
type usageReport struct {
	due    time.Duration
	load   float64
	usages []hostapi.Usage
	views  map[hostapi.AttemptID]view
}
