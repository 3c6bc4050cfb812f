package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// need returns the amount to assign to a task: the declared or learned one, but
// never more processors or memory than the largest worker has. Accelerators are
// as declared, because a task can't run with fewer.
func (p *Policy) need(s *Snapshot, t *Task) hostapi.Resources {
	need := t.Requests
	if j := p.learned.profiles[jobName(t.Job)]; j != nil && p.config.Rules.Has(RuleLearnedSizes) {
		need = j.size.Need(need)
	}
	bounded := minResources(need, s.largestCapacity)
	bounded.Accelerators = need.Accelerators
	return bounded
}

// estimatedRunTime returns an upper estimate of the run time of an attempt's task.
func (p *Policy) estimatedRunTime(a *Attempt) time.Duration {
	if j := p.learned.profiles[jobName(a.Job)]; j != nil && p.config.Rules.Has(RuleLearnedTimes) {
		return j.runTime.Total(a.RunTime)
	}
	return a.RunTime
}

// remainingRunTime returns an upper estimate of the time that a batch attempt still needs.
func (p *Policy) remainingRunTime(a *Attempt) time.Duration {
	return time.Duration((1 - a.Progress) * float64(p.estimatedRunTime(a)) / a.cpuShare())
}
