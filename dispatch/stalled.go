package dispatch

import (
	"maps"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits for runs without progress.
const (
	// minStallTimeout is the least time without progress after which a run counts as
	// stalled.
	minStallTimeout = 1500 * time.Millisecond
	// stallSlowdown is how many times slower than estimated a run may advance. Progress is
	// reported in whole percent.
	stallSlowdown = 6
	// maxStallDoublings limits the growth of the timeout of a task that has stalled before.
	maxStallDoublings = 8
	// stalledRunsLimit is the number of stalled runs after which a worker is given
	// no new runs for quarantineTime.
	stalledRunsLimit = 2
)

// stalls counts the stalled runs of a task.
type stalls struct {
	entry *ledger.Entry
	count int
}

// stallTimeout returns the time without progress after which a run counts as stalled: that in
// which a slow run advances by a percent. It doubles with each stalled run of the task, whose
// estimate may be far too low.
func (m *Machine) stallTimeout(r *run) time.Duration {
	timeout := max(minStallTimeout, stallSlowdown*r.step.Estimate/100)
	return timeout << min(m.stalls[r.id.Task].count, maxStallDoublings)
}

// countStall counts a stalled run, and forgets those of submissions that have ended.
func (m *Machine) countStall(r *run) {
	maps.DeleteFunc(m.stalls, func(_ workload.TaskID, s stalls) bool { return s.entry.State().Final() })
	m.stalls[r.id.Task] = stalls{entry: r.entry, count: m.stalls[r.id.Task].count + 1}
}

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
				m.countStall(r)
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
	if r.phase != running || r.stopRequested || r.step.LongRunning || r.step.Gang || r.paced && r.pace == 0 || r.progressPercent >= 100 {
		return false
	}
	timeout := m.stallTimeout(r)
	if r.paced {
		timeout = timeout * 100 / time.Duration(r.pace)
	}
	return r.reportedAt-r.progressAt > timeout
}
