package workload

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Incarnation identifies one lifetime of a worker: a restart under the
// same id has another start time.
type Incarnation struct {
	Worker string
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64
}

// Worker is a VM of a service as listed by the platform.
type Worker struct {
	Incarnation
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   hostapi.Resources
	// Draining is true if the worker will shut down soon.
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
}

// HasLabel reports whether the worker has a label. It is true for "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.Worker }
