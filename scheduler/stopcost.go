package scheduler

import (
	"time"
)

// progressLag is the greatest usual age of a reported progress.
const progressLag = 5 * time.Second

// nearlyDone reports whether an attempt is too nearly done to be stopped.
func (p *Policy) nearlyDone(a *Attempt) bool {
	if !p.config.Rules.Has(RuleNearlyDone) || a.Service {
		return false
	}
	progress := a.Progress
	if total := p.estimatedRunTime(a); total > 0 {
		progress += float64(progressLag) / float64(total)
	}
	return progress >= p.config.NearlyDone
}

// stopCost returns the processor seconds that stopping an attempt now loses:
// the work since its checkpoint and the time to resume.
func (p *Policy) stopCost(now time.Duration, a *Attempt) float64 {
	lost := max(0, now-max(a.CheckpointAt, a.StartedAt)) + a.CheckpointCost
	return lost.Seconds() * float64(a.Requests.MilliCPU) / 1000 * a.cpuShare()
}
