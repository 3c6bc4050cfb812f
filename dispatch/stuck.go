package dispatch

import "time"

// Figures of runs that stand still.
const (
	// stuckAfter is how long a run may show no progress: even on a worker that
	// is six times slower, a task of the usual length moves on by several
	// percent in that time.
	stuckAfter = 1500 * time.Millisecond
	// stuckRuns is how many runs must stand still on a worker before it gets
	// no more for faultyPause.
	stuckRuns = 2
)

// unstick stops runs that show no progress, so that they start elsewhere. Runs
// without an end, runs that wait for their gang and runs that a worker has not
// reported twice are left alone.
func (m *Machine) unstick() {
	for _, w := range m.sorted {
		if w.silent {
			continue
		}
		for _, r := range w.order {
			if m.standsStill(r) {
				m.avoid[r.id.Task] = w.ID()
				w.record.stuck++
				m.stopRun(r, "no progress")
			}
		}
		if w.record.stuck >= stuckRuns {
			w.record.stuck = 0
			w.pausedUntil = max(w.pausedUntil, m.now+faultyPause)
		}
	}
}

func (m *Machine) standsStill(r *run) bool {
	if r.phase != running || r.stop || r.step.LongRunning || r.step.Gang || r.percent >= 100 {
		return false
	}
	return r.reportedAt-r.progressAt > stuckAfter
}
