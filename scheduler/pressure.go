package scheduler

import "time"

// pressure is the hysteresis of one worker: how long its services have been
// over or clearly under their targets, and when the last step was taken.
type pressure struct {
	overSince time.Duration
	calmSince time.Duration
	lastStep  time.Duration
	over      bool
	calm      bool
}

// update takes the highest ratio of p99 to target on the worker.
func (p *pressure) update(now time.Duration, worst, enter, leave float64) {
	if over := worst > enter; over != p.over {
		p.over, p.overSince = over, now
	}
	if calm := worst < leave; calm != p.calm {
		p.calm, p.calmSince = calm, now
	}
}
