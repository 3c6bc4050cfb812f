package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// attemptReport is the part of a usage report that concerns one attempt.
type attemptReport struct {
	used         hostapi.Resources
	progress     float64
	checkpointAt time.Duration
	targetRatio  float64
	throttle     float64
}
