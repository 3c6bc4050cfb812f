package dispatch

import "time"

// heartbeatWait returns how long a worker may delay its report until a run ends.
// Reports are more frequent where best-effort runs can push a task over its
// latency target: the deployment allows the target to be missed for about 4 s,
// of which a stop takes up to 1 s.
func (m *Machine) heartbeatWait(w *worker) time.Duration {
	wait := m.config.HeartbeatWait
	if w.Draining {
		wait = min(wait, drainingHeartbeatWait)
	}
	if len(w.bestEffortRuns) == 0 {
		return wait
	}
	switch {
	case w.overTarget():
		return min(wait, overTargetHeartbeatWait)
	case len(w.latencyRuns) > 0:
		return min(wait, sharedHeartbeatWait)
	}
	return wait
}

// endWait returns how long a worker may delay its report until a run ends: not at all if it is silent,
// has no runs or lists ends that are not acknowledged, or if the state of a run depends on the next
// report, and no longer than until a report shows whether a stop has been carried out.
func (m *Machine) endWait(w *worker) time.Duration {
	if w.silent || len(w.runList) == 0 || w.lastEnd != w.cursor || len(w.unknownRuns) > 0 {
		return 0
	}
	wait := m.heartbeatWait(w)
	for _, r := range w.runList {
		switch {
		case r.inherited || r.phase == stopping && r.unansweredStop:
			return 0
		case r.phase == stopping:
			conclusive := r.confirmedAt + m.config.StopTime + stopMargin
			wait = min(wait, conclusive-m.now)
		case r.isolated:
			wait = min(wait, r.untilSurvived(m.now))
		}
	}
	return max(0, (wait + time.Millisecond - 1).Truncate(time.Millisecond))
}

// heartbeatInterval returns the pause between a report and the next heartbeat. It
// is longer if only best-effort runs can end, so that a report lists several ends.
func (w *worker) heartbeatInterval() time.Duration {
	if !w.needsFrequentHeartbeats() {
		return lateStartHeartbeatInterval
	}
	for _, r := range w.runList {
		if !r.step.BestEffort && !r.step.LongRunning || r.phase != running {
			return urgentHeartbeatInterval
		}
	}
	if w.overTarget() {
		return urgentHeartbeatInterval
	}
	return relaxedHeartbeatInterval
}
