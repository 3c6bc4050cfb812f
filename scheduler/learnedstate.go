package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler/interference"
	"github.com/cactusreel/cactusreel/scheduler/quarantine"
	"github.com/cactusreel/cactusreel/scheduler/retry"
)

// matureAge is the age from which the usage of an attempt counts as typical of its
// job. Younger attempts have not reached their full memory usage.
const matureAge = 30 * time.Second

// LearnedState is what was learned from usage reports and outcomes. It is not
// persisted: a new process starts without it and learns it again.
type LearnedState struct {
	pairs    *interference.Model
	failures *quarantine.Ledger
	// jobs holds the state of each version of a job, by job id.
	jobs map[string]*jobVersionState
	// profiles holds sizes and run times by job name, because jobs recur under new
	// versions.
	profiles map[string]*jobProfile
	boots    map[string]string
}

// NewLearnedState returns a state without observations.
func NewLearnedState() *LearnedState {
	return &LearnedState{
		pairs: interference.New(), failures: quarantine.New(),
		jobs: map[string]*jobVersionState{}, profiles: map[string]*jobProfile{}, boots: map[string]string{},
	}
}

func (k *LearnedState) ensureJob(id string) *jobVersionState {
	j := k.jobs[id]
	if j == nil {
		j = &jobVersionState{retries: retry.New()}
		k.jobs[id] = j
	}
	return j
}

// observeUsage takes one usage report of an attempt.
func (k *LearnedState) observeUsage(now time.Duration, a *Attempt, u *hostapi.Usage) {
	k.pairs.Observe(now, a.Kind, u.Colocated, u.Load, u.Slowdown)
	size := &k.ensureProfile(now, a.Job).size
	size.Grow(u.Used)
	if a.cpuShare() == 1 && now-a.StartedAt >= matureAge {
		size.Observe(u.Used)
	}
}

// observeOutcome takes the end of an attempt.
func (k *LearnedState) observeOutcome(now time.Duration, config Config, random *rand.Rand, o Outcome) {
	if boot, known := k.boots[o.Worker]; known && boot != o.Boot {
		k.failures.Restarted(o.Worker)
	}
	k.boots[o.Worker] = o.Boot
	switch o.State {
	case hostapi.AttemptCompleted:
		k.failures.Completed(o.Worker, o.Job)
		k.ensureJob(o.Job).retries.Completed(o.ID.Task)
		if o.TaskRunTime > 0 {
			k.ensureProfile(now, o.Job).runTime.Observe(o.TaskRunTime)
		}
	case hostapi.AttemptFailed:
		k.observeFailure(now, config, random, o)
	}
}

// observeFailure takes a failed attempt. One that ran out of memory counts neither
// against the worker nor against the job, because the next attempt gets more
// memory.
func (k *LearnedState) observeFailure(now time.Duration, config Config, random *rand.Rand, o Outcome) {
	outgrew := config.Rules.Has(RuleLearnedSizes) && k.ensureProfile(now, o.Job).size.Outgrew(o.Requests, o.Used)
	if !outgrew {
		k.failures.Failed(now, o.Worker, o.Job, o.Message)
	}
	if config.Rules.Has(RuleRetryBudget) {
		k.ensureJob(o.Job).retries.Failed(now, random, o.ID.Task, o.Message)
	}
}

// forgetJob drops the state of one version of a job.
func (k *LearnedState) forgetJob(job string) {
	delete(k.jobs, job)
	k.failures.ForgetJob(job)
}

// hasFailed reports whether an attempt of the task has failed. Such a task does not
// preempt others: an urgent job that can't succeed would discard work at each
// retry.
func (k *LearnedState) hasFailed(t *Task) bool {
	j := k.jobs[t.Job]
	return j != nil && j.retries.Failures(t.ID) > 0
}

// retryState returns Waiting if a task may be placed now, and otherwise why and
// until when it may not.
func (k *LearnedState) retryState(config Config, now time.Duration, t *Task) (Verdict, time.Duration, string) {
	if config.Rules.Has(RuleParking) {
		if reason := k.failures.Parked(t.Job); reason != "" {
			return Parked, 0, reason
		}
	}
	j := k.jobs[t.Job]
	if j == nil {
		return Waiting, 0, ""
	}
	retries := t.MaxRetries
	if retries == 0 {
		retries = config.MaxRetries
	}
	until, exhausted, reason := j.retries.State(now, t.ID, retries)
	if exhausted {
		return Exhausted, 0, reason
	}
	if until > 0 {
		return Backoff, until, reason
	}
	return Waiting, 0, ""
}
