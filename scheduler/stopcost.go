package scheduler

import (
	"time"
)

// spared reports whether an attempt is too nearly done to be stopped.
func (p *Policy) spared(a *Attempt) bool {
	return p.config.Rules.Has(RuleNearlyDone) && !a.Service && a.Progress >= p.config.NearlyDone
}

// stopCost returns the processor seconds that stopping an attempt now loses:
// the work since its checkpoint and the time to resume.
func (p *Policy) stopCost(now time.Duration, a *Attempt) float64 {
	lost := max(0, now-max(a.CheckpointAt, a.StartedAt)) + a.CheckpointCost
	return lost.Seconds() * float64(a.Requests.MilliCPU) / 1000 * a.share()
}
