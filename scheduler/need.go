package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// need returns the resources to assign to a task: the declared or learned amount,
// but not more processors or memory than the largest worker has. Accelerators are
// as declared, because a task can't run with fewer.
func (p *Policy) need(s *Snapshot, t *Task) hostapi.Resources {
	need := t.Requests
	if profile := p.learned.profiles[jobName(t.Job)]; profile != nil && p.config.Rules.Has(RuleLearnedSizes) {
		need = profile.size.Need(need)
	}
	bounded := minResources(need, s.largestCapacity)
	bounded.Accelerators = need.Accelerators
	return bounded
}

// estimatedRunTime returns an upper estimate of the run time of an attempt's whole
// task.
func (p *Policy) estimatedRunTime(a *Attempt) time.Duration {
	if profile := p.learned.profiles[jobName(a.Job)]; profile != nil && p.config.Rules.Has(RuleLearnedTimes) {
		return profile.runTime.Estimate(a.RunTime)
	}
	return a.RunTime
}

// remainingRunTime returns an upper estimate of the time that a batch attempt still
// needs at its present throttle.
func (p *Policy) remainingRunTime(a *Attempt) time.Duration {
	return time.Duration((1 - a.Progress) * float64(p.estimatedRunTime(a)) / a.cpuShare())
}
