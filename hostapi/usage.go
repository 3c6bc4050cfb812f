package hostapi

import "time"

// Usage is a lagging measurement of one attempt.
type Usage struct {
	ID AttemptID `json:"id"`
	// MeasuredAt is on the worker's monotonic clock.
	MeasuredAt time.Duration `json:"measuredAt"`
	// Colocated are the kinds that ran beside the attempt when it was measured.
	Colocated []string  `json:"colocated"`
	Used      Resources `json:"used"`
	// Slowdown is the measured time of a unit of work over its time when alone.
	Slowdown float64 `json:"slowdown"`
	// Load is the share of the worker's processors in use, from 0 to 1.
	Load float64 `json:"load"`
}
