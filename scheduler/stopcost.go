package scheduler

import (
	"time"
)

// progressLag is the usual upper bound of the age of a progress report.
const progressLag = 5 * time.Second

// nearlyDone reports whether RuleNearlyDone protects a batch attempt from being
// stopped. It extrapolates the reported progress by progressLag.
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

// stopCost returns the processor seconds that are lost if an attempt is stopped
// now: the work since its checkpoint and the time to resume.
func (p *Policy) stopCost(now time.Duration, a *Attempt) float64 {
	lost := max(0, now-max(a.CheckpointAt, a.StartedAt)) + a.CheckpointCost
	return lost.Seconds() * float64(a.Requests.MilliCPU) / 1000 * a.cpuShare()
}
