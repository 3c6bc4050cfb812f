package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Limits of the judgement on workers.
const (
	// faultyFailures is how many runs of different submissions must fail in a
	// row on a worker before it counts as faulty: one hopeless submission
	// fails everywhere and says nothing about the worker.
	faultyFailures = 2
	// faultyPause keeps new runs off a faulty worker; one run then probes it.
	faultyPause = 4 * time.Second
)

// record is how the runs of a worker's life ended.
type record struct {
	// failures counts the failures in a row, of the submissions in failed.
	failed   map[string]bool
	refusals int
	// stuck counts the runs that stood still.
	stuck int
	// speed is the mean ratio of run time to expectation; 0 if nothing is known.
	speed float64
}

// learn updates what is known of a worker and an image from the end of a run.
func (m *Machine) learn(w *worker, r *run, outcome workload.Outcome) {
	switch outcome {
	case workload.Errored:
		m.learnFailure(w, r)
	case workload.Succeeded:
		w.record.failed = nil
		w.record.refusals, w.record.stuck = 0, 0
		m.learnTime(w, r)
	}
}

func (m *Machine) learnFailure(w *worker, r *run) {
	m.avoid[r.id.Task] = w.ID()
	if w.record.failed == nil {
		w.record.failed = make(map[string]bool)
	}
	w.record.failed[r.entry.ID] = true
	if len(w.record.failed) >= faultyFailures {
		w.pausedUntil = max(w.pausedUntil, m.now+faultyPause)
		m.decide(WorkerSuspected, r.id, w.ID(), "runs of several submissions failed in a row", 0)
	}
}

// learnTime compares a run time with the estimate.
func (m *Machine) learnTime(w *worker, r *run) {
	if r.step.LongRunning || r.step.Estimate <= 0 || r.startedAt == 0 || r.task.Checkpoint != "" {
		return
	}
	ratio := float64(m.now-r.startedAt) / float64(r.step.Estimate)
	const weight = 0.3
	if w.record.speed == 0 {
		w.record.speed = 1
	}
	w.record.speed += weight * (min(ratio, 8) - w.record.speed)
}
