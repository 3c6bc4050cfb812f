package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Parameters for running best-effort runs beside runs with a latency target.
const (
	// meanCPUUse is the fraction of its CPU request that a long-running task uses on
	// average; best-effort tasks use the rest.
	meanCPUUse = 0.5
	// measurementWindow is the time over which a worker measures the figures that it
	// reports.
	measurementWindow = 500 * time.Millisecond
	// settlingTime is the time after which a change is fully visible in the reported
	// figures.
	settlingTime = measurementWindow + 200*time.Millisecond
	// maxTimeOverTarget is the time over its latency target after which the
	// best-effort runs beside a task are suspended regardless of their estimated
	// interference. Together with the delay of the reports before and the suspension
	// after it, it stays below the 4 s that the deployments allow.
	maxTimeOverTarget = 800 * time.Millisecond
	// sharedHeartbeatWait limits the time between reports of a worker that has both
	// kinds of runs. overTargetHeartbeatWait applies while a task there is over its
	// target.
	sharedHeartbeatWait     = 1200 * time.Millisecond
	overTargetHeartbeatWait = 400 * time.Millisecond
	// utilisationSmoothing is the weight of the newest observation in the moving
	// average of a run's own utilisation.
	utilisationSmoothing = 0.6
	// deviationPersistence is the fraction of a run's deviation from the mean
	// utilisation of its image that is expected to remain at the next report.
	deviationPersistence = 0.5
	// riseMargin is the increase of a run's own utilisation that placement allows
	// for: the load changes within seconds and is reported with a delay of up to
	// 2 s.
	riseMargin = 0.12
	// negligibleUtilisation is the added utilisation below which interference is
	// ignored. Twenty times this value takes a run from its mean utilisation to its
	// target.
	negligibleUtilisation = 0.015
	// utilisationMargin is the margin kept below the utilisation at the latency
	// target.
	utilisationMargin = 0.04
)

// observeInterference updates the interference model from a worker's report and
// stops best-effort runs that interfere too much.
func (m *Machine) observeInterference(w *worker) {
	if len(w.latencyRuns) == 0 || w.Capacity.MilliCPU == 0 {
		return
	}
	shares := w.bestEffortShares(m.now)
	for _, s := range w.latencyRuns {
		if s.phase == running && s.tailLatency > 0 && m.now > s.settledAt {
			m.observeRun(w, s, shares)
		}
	}
}

// cpuShare returns the fraction of its worker's CPU that a run requests. The capacity of an
// inherited worker that is not listed is not known; its runs count as taking none of it.
func (r *run) cpuShare() float64 {
	if r.worker.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(r.step.Request.MilliCPU) / float64(r.worker.Capacity.MilliCPU)
}

// observeRun updates the interference model and the own utilisation of a run with a
// latency target. If the run is over its target, it stops interfering runs.
func (m *Machine) observeRun(w *worker, s *run, shares map[imageID]float64) {
	u := m.model.utilisationOf(s.image, s.tailLatency, s.step.LatencyTarget)
	mean := m.model.models[s.image].ownUtilisation()
	deviation := 0.0
	if s.ownUtilisationAt > 0 {
		deviation = deviationPersistence * (s.ownUtilisation - mean)
	}
	m.model.observe(s.image, u-deviation, shares)
	own := u
	for _, image := range slices.Sorted(maps.Keys(shares)) {
		own -= shares[image] * m.model.interference(s.image, image)
	}
	own = max(0, own)
	if s.ownUtilisationAt == 0 {
		s.ownUtilisation = own
	}
	s.ownUtilisation += utilisationSmoothing * (own - s.ownUtilisation)
	s.ownUtilisationAt = m.now
	m.observeTargetMiss(w, s)
	s.noteTarget(m.now)
	switch {
	case s.mustSuspend(m.now, maxTimeOverTarget):
		m.suspendAll(w)
	case s.isOverTarget():
		m.stopInterfering(w, s, u)
	}
}

// stopInterfering stops best-effort runs beside a run that is over its target, those
// with the most interference first, until the run is expected to get below the
// target. It then does nothing until the reported figures show the effect.
func (m *Machine) stopInterfering(w *worker, s *run, u float64) {
	if m.now-w.interferenceStoppedAt < settlingTime {
		return
	}
	excess := u - m.model.targetUtilisation(s.image, s.step.LatencyTarget) + utilisationMargin
	for excess > 0 {
		worst := m.mostInterfering(w, s)
		if worst == nil {
			return
		}
		effect := m.effect(s, worst)
		excess -= effect
		w.interferenceStoppedAt = m.now
		if worst.paced {
			m.setPace(worst, 0)
			continue
		}
		m.stopInterferingRun(worst)
	}
}

// effect returns the utilisation that a best-effort run is estimated to add to a run.
func (m *Machine) effect(s, bestEffort *run) float64 {
	return bestEffort.pressure() * m.model.interference(s.image, bestEffort.image)
}

// mostInterfering returns the active best-effort run that interferes most with a
// run, or nil if none does noticeably. Paced runs come first, since no work is lost with them.
func (m *Machine) mostInterfering(w *worker, s *run) *run {
	var worst *run
	most := 0.0
	for _, f := range w.bestEffortRuns {
		effect := m.effect(s, f)
		if f.phase != running || f.stopRequested || effect < negligibleUtilisation {
			continue
		}
		if worst == nil || f.paced && !worst.paced || f.paced == worst.paced && effect > most {
			worst, most = f, effect
		}
	}
	return worst
}

// headroom returns the utilisation that the runs on a worker have left below their
// latency targets after a best-effort run of an image is added, as the minimum over
// the runs with which the image interferes. It returns 1 if there are none, and -1
// if no best-effort run may be added.
func (m *Machine) headroom(w *worker, bestEffortImage imageID, share float64) float64 {
	least := 1.0
	for _, s := range w.latencyRuns {
		if s.overTargetSince > 0 || m.confounds(w, s, bestEffortImage) {
			return -1
		}
		effect := share * m.model.interference(s.image, bestEffortImage)
		if effect < negligibleUtilisation {
			continue
		}
		least = min(least, m.runHeadroom(w, s)-effect)
	}
	return least
}

// confounds reports whether a best-effort run of an image would be added beside
// another one while the interference of either with a run is uncertain. A missed
// target could then not be attributed to one of them. Paced runs give way.
func (m *Machine) confounds(w *worker, s *run, bestEffortImage imageID) bool {
	for _, f := range w.bestEffortRuns {
		if !f.paced && (m.model.uncertain(s.image, bestEffortImage) || m.model.uncertain(s.image, f.image)) {
			return true
		}
	}
	return false
}

// runHeadroom returns the utilisation that a run is expected to have left below its
// latency target beside the runs that are not paced. The result is cached until the run's next report or the next
// change of the worker's runs.
func (m *Machine) runHeadroom(w *worker, s *run) float64 {
	if s.headroomVersion == w.runsVersion && s.headroomUtilisationAt == s.ownUtilisationAt && s.headroomVersion != 0 {
		return s.headroom
	}
	u := m.expectedUtilisation(s)
	for _, f := range w.bestEffortRuns {
		// Paced runs give way.
		if !f.paced {
			u += f.cpuShare() * m.model.interference(s.image, f.image)
		}
	}
	s.headroom = m.model.targetUtilisation(s.image, s.step.LatencyTarget) - utilisationMargin - u
	s.headroomVersion, s.headroomUtilisationAt = w.runsVersion, s.ownUtilisationAt
	return s.headroom
}

// expectedUtilisation returns the utilisation that a run's own load may soon reach.
func (m *Machine) expectedUtilisation(s *run) float64 {
	mean := m.model.models[s.image].ownUtilisation()
	if s.ownUtilisationAt == 0 {
		return mean + riseMargin
	}
	return max(s.ownUtilisation+riseMargin, mean)
}
