package dispatch

import (
	"fmt"
	"time"
)

const (
	// reportedTargetMiss is how long a task may be over its latency target beside best-effort
	// runs before that is reported.
	reportedTargetMiss = 2 * time.Second
	// targetMissEnd is how long the reports on a task must be within its target until a miss
	// counts as ended: the reported figures are rough.
	targetMissEnd = time.Second
)

// bestEffortChanges counts what happened to the best-effort runs on a worker.
type bestEffortChanges struct {
	// placed, started: a run was placed on the worker, its start was confirmed. paced: a run
	// was paced down. stopped: a run was stopped because it interferes.
	placed, started, paced, stopped int
}

// targetMiss is a time during which a task was over its latency target beside best-effort runs.
type targetMiss struct {
	// since is the time of the first report over the target, overAt that of the last.
	since, overAt time.Duration
	// reports counts the reports, within those that were not over the target. longestGap is the
	// longest time between two, reportedAt the time of the last.
	reports, within int
	longestGap      time.Duration
	reportedAt      time.Duration
	// before has the worker's counts at the beginning.
	before   bestEffortChanges
	reported bool
}

// observeTargetMiss notes a report on a task with a latency target.
func (m *Machine) observeTargetMiss(w *worker, s *run) {
	over := s.isOverTarget()
	miss := s.targetMiss
	if miss == nil {
		if !over || len(w.bestEffortRuns) == 0 {
			return
		}
		miss = &targetMiss{since: m.now, reportedAt: m.now, before: w.bestEffortChanges}
		s.targetMiss = miss
	}
	miss.reports++
	miss.longestGap = max(miss.longestGap, m.now-miss.reportedAt)
	miss.reportedAt = m.now
	if over {
		miss.overAt = m.now
	} else {
		miss.within++
	}
	if !miss.reported && miss.overAt-miss.since >= reportedTargetMiss {
		miss.reported = true
		m.emitDecision(TargetMissed, s.id, w.ID(), miss.describe(w, s), miss.overAt-miss.since)
	}
	if m.now-miss.overAt >= targetMissEnd || len(w.bestEffortRuns) == 0 {
		m.endTargetMiss(s)
	}
}

// endTargetMiss ends a miss, if there is one, with its last report over the target.
func (m *Machine) endTargetMiss(s *run) {
	miss := s.targetMiss
	if miss == nil {
		return
	}
	s.targetMiss = nil
	m.emitDecision(TargetMissEnded, s.id, s.worker.ID(), miss.describe(s.worker, s), miss.overAt-miss.since)
}

// describe returns the reports of a miss, the best-effort runs beside the task, and what happened
// to them since it began.
func (t *targetMiss) describe(w *worker, s *run) string {
	active, suspended, others := 0, 0, 0
	for _, r := range w.bestEffortRuns {
		switch {
		case r.phase != running || r.stopRequested:
			others++
		case r.paced && r.pace == 0:
			suspended++
		default:
			active++
		}
	}
	c := w.bestEffortChanges
	return fmt.Sprintf("%v at a target of %v; %d reports, %d of them within the target, up to %v apart; %d best-effort runs active, %d suspended, %d to be started or stopped; since then %d placed, %d started, %d paced down, %d stopped",
		s.tailLatency, s.step.LatencyTarget, t.reports, t.within, t.longestGap.Round(time.Millisecond), active, suspended, others,
		c.placed-t.before.placed, c.started-t.before.started, c.paced-t.before.paced, c.stopped-t.before.stopped)
}
