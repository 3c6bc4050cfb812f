package dispatch

import "time"

// Limits for runs without progress.
const (
	// stallTimeout is the time without progress after which a run counts as
	// stalled: even on a worker that is six times slower, a task of the usual
	// length advances by several percent in that time.
	stallTimeout = 1500 * time.Millisecond
	// stalledRunsLimit is the number of stalled runs after which a worker is given
	// no new runs for quarantineTime.
	stalledRunsLimit = 2
)

// stopStalledRuns stops stalled runs, so that they restart on another worker.
// Long-running runs, members of gangs (which may wait for other members) and runs
// that have not been reported at least twice never count as stalled.
func (m *Machine) stopStalledRuns() {
	for _, w := range m.sorted {
		if w.silent {
			continue
		}
		for _, r := range w.runList {
			if m.stalled(r) {
				m.avoid[r.id.Task] = w.ID()
				w.history.stalledRuns++
				m.stopRun(r, "no progress")
			}
		}
		if w.history.stalledRuns >= stalledRunsLimit {
			w.history.stalledRuns = 0
			w.pausedUntil = max(w.pausedUntil, m.now+quarantineTime)
		}
	}
}

func (m *Machine) stalled(r *run) bool {
	if r.phase != running || r.stopRequested || r.step.LongRunning || r.step.Gang || r.progressPercent >= 100 {
		return false
	}
	return r.reportedAt-r.progressAt > stallTimeout
}
