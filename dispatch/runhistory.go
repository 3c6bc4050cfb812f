package dispatch

import (
	"maps"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Limits for the quarantine of workers.
const (
	// faultyThreshold is the number of different submissions with consecutive
	// failures on a worker from which the worker counts as faulty, those of
	// long-running tasks that were at work aside. A single submission is not
	// enough, because it may fail on every worker.
	faultyThreshold = 2
	// quarantineTime is the time for which no finite runs are placed on a faulty worker, and after
	// one more failure none at all. Sound workers reach the threshold by chance, so that until then
	// long-running tasks for which no other worker has room are placed there, one at a time. The
	// runs placed after that time probe the worker: a success clears its failures.
	quarantineTime = 4 * time.Second
	// failureMemory is the time after which a failure on a worker no longer counts. Long-running
	// runs have no success that would clear it.
	failureMemory = 10 * time.Second
)

// runHistory summarises how the runs of a worker incarnation ended.
type runHistory struct {
	// failedSubmissions are the submissions with failures since the last success, with the time of
	// the last failure of each.
	failedSubmissions map[string]time.Duration
	// refusals is the number of starts since the last success that the worker
	// refused for lack of capacity.
	refusals int
	// stalledRuns is the number of stalled runs since the last success or
	// quarantine.
	stalledRuns int
	// slowdown is the moving average of the ratio of run time to estimate; 0 if no
	// run has been measured.
	slowdown float64
}

// updateHistory updates a worker's history after the end of a run.
func (m *Machine) updateHistory(w *worker, r *run, outcome workload.Outcome) {
	switch outcome {
	case workload.Errored:
		m.addFailure(w, r)
	case workload.Succeeded:
		w.history.failedSubmissions = nil
		w.history.refusals, w.history.stalledRuns = 0, 0
		m.observeRunTime(r)
		m.updateSlowdown(w, r)
	}
}

func (m *Machine) addFailure(w *worker, r *run) {
	m.avoid[r.id.Task] = w.ID()
	if r.step.LongRunning && r.progressPercent >= 100 {
		// A task that was at work may fail at any time, on sound workers too.
		return
	}
	if w.history.failedSubmissions == nil {
		w.history.failedSubmissions = make(map[string]time.Duration)
	}
	maps.DeleteFunc(w.history.failedSubmissions, func(_ string, at time.Duration) bool { return m.now-at >= failureMemory })
	w.history.failedSubmissions[r.entry.ID] = m.now
	if failed := len(w.history.failedSubmissions); failed >= faultyThreshold {
		if failed > faultyThreshold || m.now < w.suspectedUntil {
			w.pausedUntil = max(w.pausedUntil, m.now+quarantineTime)
		}
		w.suspectedUntil = max(w.suspectedUntil, m.now+quarantineTime)
		m.emitDecision(WorkerSuspected, r.id, w.ID(), "runs of several submissions failed in a row", 0)
	}
}

// updateSlowdown updates the slowdown of a worker from the run time of a run. Tasks
// with a recorded checkpoint are ignored.
func (m *Machine) updateSlowdown(w *worker, r *run) {
	if r.step.LongRunning || r.step.Estimate <= 0 || r.startedAt == 0 || r.task.Checkpoint != "" {
		return
	}
	ratio := float64(m.now-r.startedAt) / float64(r.step.Estimate)
	const weight = 0.3
	if w.history.slowdown == 0 {
		w.history.slowdown = 1
	}
	w.history.slowdown += weight * (min(ratio, 8) - w.history.slowdown)
}
