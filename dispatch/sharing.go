package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Figures of sharing a worker.
const (
	// servingUse is the share of its processors that a long-running task uses
	// on average; best-effort work takes the rest.
	servingUse = 0.5
	// figureWindow is the time that a worker's figures cover.
	figureWindow = 500 * time.Millisecond
	// settledAfter is how long a change takes to show in the figures.
	settledAfter = figureWindow + 200*time.Millisecond
	// reliefLimit is how long a task may be over its target before the
	// best-effort runs beside it stop whatever is known of them. With
	// the report before and the stop after it stays under the 4 s that the
	// deployments allow.
	reliefLimit = 800 * time.Millisecond
	// sharedWait bounds the time between reports of a worker that runs both
	// kinds, watchWait while a task there is over its target.
	sharedWait = 1200 * time.Millisecond
	watchWait  = 400 * time.Millisecond
	// baseMemory is the weight of the newest observation in a run's own load.
	baseMemory = 0.6
	// swingShare is the part of a run's last deviation from its image's mean
	// load that is expected to remain at the next report.
	swingShare = 0.5
	// riseMargin is the rise of a run's own load that placing allows for: the
	// load changes within seconds and is known with a lag of up to 2 s.
	riseMargin = 0.12
	// negligible is an added utilisation that is ignored: twenty of it take a
	// run from its mean load to its target.
	negligible = 0.015
	// utilisationMargin is kept free below the utilisation of the target.
	utilisationMargin = 0.04
)

// observeSharing learns from a report and stops what disturbs too much.
func (m *Machine) observeSharing(w *worker) {
	if len(w.serving) == 0 {
		return
	}
	shares := w.exposure(m.now)
	for _, s := range w.serving {
		if s.phase == running && s.tail > 0 && m.now-s.startedAt > settledAfter {
			m.observeServing(w, s, shares)
		}
	}
}

// share returns the part of its worker's processors that a run may use.
func (r *run) share() float64 {
	return float64(r.step.Request.MilliCPU) / max(float64(r.on.Capacity.MilliCPU), 1)
}

func (m *Machine) observeServing(w *worker, s *run, shares map[imageID]float64) {
	u := m.images.read(s.image, s.tail, s.step.LatencyTarget)
	mean := m.images.known[s.image].utilisation()
	swing := 0.0
	if s.baseAt > 0 {
		swing = swingShare * (s.base - mean)
	}
	m.images.observe(s.image, u-swing, shares)
	own := u
	for _, image := range slices.Sorted(maps.Keys(shares)) {
		own -= shares[image] * m.images.disturbance(s.image, image)
	}
	own = max(0, own)
	if s.baseAt == 0 {
		s.base = own
	}
	s.base += baseMemory * (own - s.base)
	s.baseAt = m.now
	if s.tail <= s.step.LatencyTarget {
		s.overSince = 0
		return
	}
	if s.overSince == 0 {
		s.overSince = m.now
	}
	m.relieve(w, s, u)
}

// relieve stops best-effort runs beside a run that is over its target, the
// most disturbing first, until the rest should leave it under the target. After
// that it waits until the figures show the effect.
func (m *Machine) relieve(w *worker, s *run, u float64) {
	if m.now-w.relievedAt < settledAfter {
		return
	}
	urgent := m.now-s.overSince > reliefLimit
	excess := u - m.images.limit(s.image, s.step.LatencyTarget) + utilisationMargin
	for excess > 0 {
		worst := m.worstBeside(w, s)
		if worst == nil {
			return
		}
		effect := worst.share() * m.images.disturbance(s.image, worst.image)
		if effect < negligible && !urgent {
			return
		}
		excess -= max(effect, negligible)
		w.relievedAt = m.now
		m.stopRun(worst, "disturbs a task that is over its latency target")
	}
}

// worstBeside returns the running best-effort run that disturbs a run most, or nil.
func (m *Machine) worstBeside(w *worker, s *run) *run {
	var worst *run
	most := 0.0
	for _, f := range w.filling {
		if f.phase != running || f.stop {
			continue
		}
		effect := f.share() * m.images.disturbance(s.image, f.image)
		if worst == nil || effect > most {
			worst, most = f, effect
		}
	}
	return worst
}

// headroom returns how far the runs of a worker stay under the utilisation of
// their targets if a best-effort run of an image comes beside them. Runs that
// the image does not disturb don't count. It is 1 if there are no others.
func (m *Machine) headroom(w *worker, filling imageID, share float64) float64 {
	least := 1.0
	for _, s := range w.serving {
		if s.overSince > 0 || m.confounds(w, s, filling) {
			return -1
		}
		effect := share * m.images.disturbance(s.image, filling)
		if effect < negligible {
			continue
		}
		least = min(least, m.room(w, s)-effect)
	}
	return least
}

// confounds tells that a best-effort run of an image would come beside another
// one while little is known of what either does to a run: a missed target could
// not be attributed then.
func (m *Machine) confounds(w *worker, s *run, filling imageID) bool {
	if len(w.filling) == 0 {
		return false
	}
	if m.images.uncertain(s.image, filling) {
		return true
	}
	for _, f := range w.filling {
		if m.images.uncertain(s.image, f.image) {
			return true
		}
	}
	return false
}

// room returns how far a run is expected to stay under the utilisation of its
// target. The value is kept until the run's report or its company changes.
func (m *Machine) room(w *worker, s *run) float64 {
	if s.roomAt == w.companyAt && s.roomBase == s.baseAt && s.roomAt != 0 {
		return s.room
	}
	u := m.expectedLoad(s)
	for _, f := range w.filling {
		u += f.share() * m.images.disturbance(s.image, f.image)
	}
	s.room = m.images.limit(s.image, s.step.LatencyTarget) - utilisationMargin - u
	s.roomAt, s.roomBase = w.companyAt, s.baseAt
	return s.room
}

// expectedLoad returns the utilisation that a run's own load reaches soon.
func (m *Machine) expectedLoad(s *run) float64 {
	mean := m.images.known[s.image].utilisation()
	if s.baseAt == 0 {
		return mean + riseMargin
	}
	return max(s.base+riseMargin, mean)
}
