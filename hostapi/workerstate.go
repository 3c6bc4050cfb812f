package hostapi

import "time"

// WorkerState is a worker agent's answer to Observe.
type WorkerState struct {
	Worker string `json:"worker"`
	// Boot changes when the worker restarts.
	Boot string `json:"boot"`
	// Clock is the worker's monotonic clock when the answer was made.
	Clock time.Duration `json:"clock"`
	// Term is the highest term that the worker has seen.
	Term     int64     `json:"term"`
	Capacity Resources `json:"capacity"`
	Attempts []Attempt `json:"attempts"`
	Usage    []Usage   `json:"usage"`
}
