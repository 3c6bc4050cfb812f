package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// Worker is one worker of a cell. It must not change once it is in a Snapshot.
type Worker struct {
	ID       string
	Rack     string
	Boot     string
	Capacity hostapi.Resources
	// Unreachable workers have no free capacity.
	Unreachable bool
	// Leaving workers get no new attempts.
	Leaving bool
	// Load is the newest measured share of the processors in use, from 0 to 1.
	Load     float64
	Attempts []Attempt
}

// Free returns the capacity that no attempt uses. It is at least 0 in each
// dimension, and 0 for a worker that takes no new attempts.
func (w *Worker) Free() hostapi.Resources {
	if w.Unreachable || w.Leaving {
		return hostapi.Resources{}
	}
	free := w.Capacity
	for i := range w.Attempts {
		free = free.Sub(w.Attempts[i].Reserved())
	}
	return maxResources(free, hostapi.Resources{})
}

// findAttempt returns the attempt with an id, or nil.
func (w *Worker) findAttempt(id hostapi.AttemptID) *Attempt {
	for i := range w.Attempts {
		if w.Attempts[i].ID == id {
			return &w.Attempts[i]
		}
	}
	return nil
}
