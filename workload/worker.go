package workload

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Life names one lifetime of a worker: a restart under the same id has another
// birth time.
type Life struct {
	Worker string
	// Born is the Unix millisecond of the start.
	Born int64
}

// Worker is a VM of a service as the platform's list shows it.
type Worker struct {
	Life
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

// Has tells whether the worker has a label; every worker has "".
func (w *Worker) Has(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.Worker }
