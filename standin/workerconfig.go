package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerConfig describes a simulated worker.
type WorkerConfig struct {
	ID       string
	Boot     string
	Capacity hostapi.Resources
	// UsageInterval is the time between two usage measurements.
	UsageInterval time.Duration
	// UsageLag is the delay until a measurement is reported.
	UsageLag  time.Duration
	TaskKinds *TaskKinds
}
