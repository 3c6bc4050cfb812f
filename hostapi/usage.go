package hostapi

import "time"

// Usage is a measurement of one attempt. It can be out of date when it is
// reported.
type Usage struct {
	ID AttemptID `json:"id"`
	// MeasuredAt is a time on the worker's monotonic clock.
	MeasuredAt time.Duration `json:"measuredAt"`
	// Colocated holds the kinds of the other tasks that ran on the worker at the
	// time of the measurement.
	Colocated []string  `json:"colocated"`
	Used      Resources `json:"used"`
	// Slowdown is the measured time of a unit of work divided by its time without
	// colocated tasks.
	Slowdown float64 `json:"slowdown"`
	// Load is the share of the worker's processors in use, from 0 to 1.
	Load float64 `json:"load"`
}
