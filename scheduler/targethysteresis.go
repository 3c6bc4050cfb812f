package scheduler

import "time"

// targetHysteresis is the escalation state of one worker: how long its services
// have been over or clearly under their latency targets, and when the last
// escalation step was taken.
type targetHysteresis struct {
	overSince  time.Duration
	underSince time.Duration
	lastStep   time.Duration
	over       bool
	under      bool
}

// update takes the highest ratio of p99 to target on the worker. The worker is over
// target above overTarget and clearly under target below underTarget.
func (h *targetHysteresis) update(now time.Duration, worstRatio, overTarget, underTarget float64) {
	if over := worstRatio > overTarget; over != h.over {
		h.over, h.overSince = over, now
	}
	if under := worstRatio < underTarget; under != h.under {
		h.under, h.underSince = under, now
	}
}
