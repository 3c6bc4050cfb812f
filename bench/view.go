package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// view is what the owner knows of an attempt, as of its last report.
type view struct {
	used     hostapi.Resources
	progress float64
	savedAt  time.Duration
	ratio    float64
	throttle float64
}
