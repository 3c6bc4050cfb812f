package standin

import "time"

// WorkerChange names a change of a worker.
type WorkerChange string

// Changes of a worker. A worker that comes up does not leave.
const (
	WorkerUp             WorkerChange = "up"
	WorkerDown           WorkerChange = "down"
	WorkerLeaving        WorkerChange = "leaving"
	WorkerLeaveCancelled WorkerChange = "stays"
)

// WorkerEvent is a change of a worker, in nanoseconds since the stand-in started.
type WorkerEvent struct {
	At     time.Duration `json:"at"`
	Worker string        `json:"worker"`
	Change WorkerChange  `json:"change"`
}
