package scheduler

import "time"

// targetHysteresis is the hysteresis of one worker: how long its services have been
// over or clearly under their targets, and when the last step was taken.
type targetHysteresis struct {
	overSince  time.Duration
	underSince time.Duration
	lastStep   time.Duration
	over       bool
	under      bool
}

// update takes the highest ratio of p99 to target on the worker.
func (p *targetHysteresis) update(now time.Duration, worst, enter, leave float64) {
	if over := worst > enter; over != p.over {
		p.over, p.overSince = over, now
	}
	if calm := worst < leave; calm != p.under {
		p.under, p.underSince = calm, now
	}
}
