package workload

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Incarnation names one lifetime of a worker: a restart under the same id has another
// birth time.
type Incarnation struct {
	Worker string
	// StartMillis is the Unix millisecond of the start.
	StartMillis int64
}

// Worker is a VM of a service as the platform's list shows it.
type Worker struct {
	Incarnation
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   hostapi.Resources
	// Draining means that the worker leaves soon.
	Draining bool
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
}

// HasLabel tells whether the worker has a label; every worker has "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.Worker }
