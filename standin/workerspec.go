package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerSpec is the size of a worker.
type WorkerSpec struct {
	Capacity    hostapi.Resources `json:"capacity"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	// DriftPerMille is how much faster the worker's clock runs, in
	// thousandths. Every second worker runs slower by as much.
	DriftPerMille float64 `json:"driftPerMille,omitempty"`
}
