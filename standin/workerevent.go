package standin

import "time"

// WorkerChange is a kind of state change of a worker.
type WorkerChange string

// State changes of a worker. WorkerUp resets the leaving state.
const (
	WorkerUp             WorkerChange = "up"
	WorkerDown           WorkerChange = "down"
	WorkerLeaving        WorkerChange = "leaving"
	WorkerLeaveCancelled WorkerChange = "stays"
)

// WorkerEvent is a state change of a worker. At is in nanoseconds since the
// stand-in started.
type WorkerEvent struct {
	At     time.Duration `json:"at"`
	Worker string        `json:"worker"`
	Change WorkerChange  `json:"change"`
}
