package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerSpec describes the size and the clock of a worker.
type WorkerSpec struct {
	Capacity    hostapi.Resources `json:"capacity"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	// DriftPerMille is by how many thousandths the worker's clock is fast. The
	// clock of every second worker is slow by the same amount.
	DriftPerMille float64 `json:"driftPerMille,omitempty"`
}
