package dispatch

import (
	"time"
)

// Figures of sharing a worker.
const (
	// servingUse is the share of its processors that a long-running task uses
	// on average; best-effort work takes the rest.
	servingUse = 0.5
	// settledAfter is how old a run must be to show in the figures of the runs
	// beside it: they cover the last half second.
	settledAfter = 700 * time.Millisecond
	// baseMemory is the weight of the newest observation in a run's own load.
	baseMemory = 0.6
	// riseMargin is the rise of a run's own load that placing allows for: the
	// load changes within seconds and is known with a lag of up to 2 s.
	riseMargin = 0.12
	// utilisationMargin is kept free below the utilisation of the target.
	utilisationMargin = 0.04
)

// settled tells whether the figures of the runs beside a best-effort run show it.
func (m *Machine) settled(r *run) bool {
	return r.startedAt > 0 && m.now-r.startedAt > settledAfter && m.now-r.changedAt > settledAfter+m.config.SettleTime
}

// observeSharing learns from a report and slows what disturbs too much.
func (m *Machine) observeSharing(w *worker) {
	shares := make(map[string]float64)
	clean := true
	for _, f := range w.filling {
		if f.phase != running && f.phase != stopping {
			continue
		}
		clean = clean && m.settled(f)
		shares[f.step.Image] += f.share()
	}
	for _, s := range w.serving {
		if s.phase == running && s.tail > 0 && m.now-s.startedAt > settledAfter {
			m.observeServing(w, s, shares, clean)
		}
	}
}

// share returns the part of its worker's processors that a run may use.
func (r *run) share() float64 {
	return float64(r.step.Request.MilliCPU) / max(float64(r.on.Capacity.MilliCPU), 1) * float64(r.wanted) / 100
}

func (m *Machine) observeServing(w *worker, s *run, shares map[string]float64, clean bool) {
	u := m.images.utilisation(s.step.Image, s.tail, s.step.LatencyTarget)
	base := m.images.of(s.step.Image, s.step.LatencyTarget).utilisation
	if clean {
		m.images.observe(s.step.Image, s.step.LatencyTarget, u, base, shares)
	}
	own := u
	for image, share := range shares {
		own -= share * m.images.disturbance(s.step.Image, image)
	}
	own = max(0, own)
	if s.baseAt == 0 {
		s.base = own
	}
	s.base += baseMemory * (own - s.base)
	s.baseAt = m.now
	if s.tail > s.step.LatencyTarget && len(w.filling) > 0 {
		m.relieve(w, s)
	}
}

// relieve stops best-effort runs beside a run that is over its target, the
// most disturbing first, until the rest should leave it under the target.
func (m *Machine) relieve(w *worker, s *run) {
	excess := m.images.utilisation(s.step.Image, s.tail, s.step.LatencyTarget) - m.images.limit(s.step.Image, s.step.LatencyTarget) + utilisationMargin
	for excess > 0 {
		worst := m.worstBeside(w, s)
		if worst == nil {
			return
		}
		excess -= max(worst.share()*m.images.disturbance(s.step.Image, worst.step.Image), 0.01)
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
		effect := f.share() * m.images.disturbance(s.step.Image, f.step.Image)
		if worst == nil || effect > most {
			worst, most = f, effect
		}
	}
	return worst
}

// headroom returns how far the runs of a worker stay under the utilisation of
// their targets if a best-effort run of an image comes beside them. It is 1 on
// a worker without such runs.
func (m *Machine) headroom(w *worker, image string, share float64) float64 {
	least := 1.0
	for _, s := range w.serving {
		u := m.expectedLoad(s) + share*m.images.disturbance(s.step.Image, image)
		for _, f := range w.filling {
			u += f.share() * m.images.disturbance(s.step.Image, f.step.Image)
		}
		least = min(least, m.images.limit(s.step.Image, s.step.LatencyTarget)-utilisationMargin-u)
	}
	return least
}

// expectedLoad returns the utilisation that a run's own load reaches soon.
func (m *Machine) expectedLoad(s *run) float64 {
	mean := m.images.of(s.step.Image, s.step.LatencyTarget).utilisation
	if s.baseAt == 0 {
		return mean + riseMargin
	}
	return max(s.base+riseMargin, mean)
}
