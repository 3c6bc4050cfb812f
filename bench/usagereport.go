package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// usageReport is a worker's lagging measurement of all its attempts.
type usageReport struct {
	due    time.Duration
	load   float64
	usages []platform.Usage
	views  map[platform.AttemptID]view
}
