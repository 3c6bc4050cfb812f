package dispatch

import (
	"slices"
	"time"
)

// Parameters of the suspension of best-effort runs beside a task over its latency target.
const (
	// targetKeptTime is how long the reports on a task must be within its target until the task
	// counts as within it again: the reported figures are rough.
	targetKeptTime = 800 * time.Millisecond
	// maxHeldTime is the time after which a run that was suspended at its full pace, and still
	// is, is stopped, so that it is placed elsewhere.
	maxHeldTime = 3 * time.Second
)

// noteTarget updates the time since which a task has been over its target. Single reports within
// it do not end that time. If the first report of an epoch says that an inherited run is over its
// target, it counts as over it for maxTimeOverTarget: takeovers must not add up.
func (s *run) noteTarget(now time.Duration) {
	switch {
	case s.isOverTarget():
		s.withinTargetSince = 0
		if s.overTargetSince == 0 {
			s.overTargetSince = now
			if s.overBefore {
				s.overTargetSince = max(now-maxTimeOverTarget, 1)
			}
		}
	case s.overTargetSince == 0:
	case s.withinTargetSince == 0:
		s.withinTargetSince = now
	case now-s.withinTargetSince >= targetKeptTime:
		s.overTargetSince, s.withinTargetSince = 0, 0
	}
	s.overBefore = false
}

// isOverTarget reports whether the last report says that a run is over its latency target.
func (s *run) isOverTarget() bool { return s.tailLatency > s.step.LatencyTarget }

// overTarget reports whether a run on the worker is over its latency target, or has not been
// within it for targetKeptTime.
func (w *worker) overTarget() bool {
	return slices.ContainsFunc(w.latencyRuns, func(s *run) bool { return s.overTargetSince > 0 })
}

// mustSuspend reports whether the best-effort runs beside a task must be suspended: the last
// report says that it is over its target, and it has been for a time.
func (s *run) mustSuspend(now, overTargetTime time.Duration) bool {
	return s.phase == running && s.overTargetSince > 0 && s.isOverTarget() && now-s.overTargetSince >= overTargetTime
}

// suspendUnreported suspends the best-effort runs beside a task that is over its target if its
// worker's next report is late.
func (m *Machine) suspendUnreported(w *worker) {
	for _, s := range w.latencyRuns {
		if s.mustSuspend(m.now, maxTimeOverTarget+overTargetHeartbeatWait) {
			m.suspendAll(w)
			return
		}
	}
}

// suspendAll suspends the active best-effort runs on a worker at once, whatever their estimated
// interference. Those at their full pace that are known to interfere are stopped, so that they are
// placed elsewhere; the others are held until the tasks there are within their targets.
func (m *Machine) suspendAll(w *worker) {
	for _, r := range w.bestEffortRuns {
		switch {
		case r.phase != running || r.stopRequested:
		case !r.paced && m.interferes(r):
			m.stopInterferingRun(r)
		default:
			m.suspend(r)
		}
	}
}

// interferes reports whether a best-effort run at its full pace is estimated to interfere
// noticeably with a run on its worker.
func (m *Machine) interferes(r *run) bool {
	return slices.ContainsFunc(r.worker.latencyRuns, func(s *run) bool {
		return r.cpuShare()*m.model.interference(s.image, r.image) >= negligibleUtilisation
	})
}

func (m *Machine) suspend(r *run) {
	if r.paced && r.pace == 0 {
		return
	}
	if !r.paced {
		r.held, r.heldSince = true, m.now
	}
	m.setPace(r, 0)
}

// controlHeld gives a run that is held its full pace back when the tasks on its worker are within their
// targets, unless it is known to interfere by then.
func (m *Machine) controlHeld(r *run) {
	switch over := r.worker.overTarget(); {
	case !over && !m.interferes(r):
		m.setPace(r, 100)
		r.held, r.paced = false, false
	case !over || m.now-r.heldSince > maxHeldTime:
		m.stopInterferingRun(r)
	case r.paceUnknown || m.now-r.pacedAt >= settlingTime && (r.pace == 0) != (r.usedMilliCPU == 0):
		m.sendPace(r)
	}
}

// stopInterferingRun stops a run at once: it is suspended until its worker has stopped it. A lost
// suspension needs no retry.
func (m *Machine) stopInterferingRun(r *run) {
	m.emit(Pace{Target: r.worker.target(), Run: r.id})
	m.noteInterrupted(r)
	r.worker.bestEffortChanges.stopped++
	m.stopRun(r, "interferes with a task that is over its latency target")
}

// adoptPace takes the pace that a previous owner gave an inherited best-effort run from the CPU
// that it uses. The run is held at it until the tasks there are within their targets, or stays paced
// if it is known to interfere.
func (m *Machine) adoptPace(r *run, usedMilliCPU int64) {
	if !r.step.BestEffort || 4*usedMilliCPU >= 3*r.step.Request.MilliCPU {
		return
	}
	r.worker.endInterval(r, m.now)
	r.changePace(int(100 * usedMilliCPU / r.step.Request.MilliCPU))
	r.worker.beginInterval(r, m.now)
	r.held = !m.interferes(r)
	r.heldSince, r.suspendedAt, r.pacedAt = m.now, m.now, m.now
}
