package hostapi

import "time"

// WorkerState is the state of a worker as reported by its agent.
type WorkerState struct {
	Worker string `json:"worker"`
	// Boot is the worker's boot id. It identifies the worker's incarnation and
	// changes when the worker restarts.
	Boot string `json:"boot"`
	// Clock is the time on the worker's monotonic clock when the state was read.
	Clock time.Duration `json:"clock"`
	// Term is the highest term that the worker has seen.
	Term     int64     `json:"term"`
	Capacity Resources `json:"capacity"`
	Attempts []Attempt `json:"attempts"`
	Usage    []Usage   `json:"usage"`
}
