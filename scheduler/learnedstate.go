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
	failures *quarantine.Tracker
	// jobs holds the state of each version of a job, by job id.
	jobs map[string]*jobVersionState
	// profiles holds sizes and run times by job name, because jobs recur under new
	// versions.
	profiles map[string]*jobProfile
	// boots holds the last seen boot id of each worker, by worker id.
	boots map[string]string
}

// NewLearnedState returns a state without observations.
func NewLearnedState() *LearnedState {
	return &LearnedState{
		pairs: interference.New(), failures: quarantine.New(),
		jobs: map[string]*jobVersionState{}, profiles: map[string]*jobProfile{}, boots: map[string]string{},
	}
}

func (l *LearnedState) ensureJob(id string) *jobVersionState {
	j := l.jobs[id]
	if j == nil {
		j = &jobVersionState{retries: retry.New()}
		l.jobs[id] = j
	}
	return j
}

// observeUsage takes one usage report of an attempt.
func (l *LearnedState) observeUsage(now time.Duration, a *Attempt, u *hostapi.Usage) {
	l.pairs.Observe(now, a.Kind, u.Colocated, u.Load, u.Slowdown)
	size := &l.ensureProfile(now, a.Job).size
	size.ObserveMemory(u.Used)
	if a.cpuShare() == 1 && now-a.StartedAt >= matureAge {
		size.Observe(u.Used)
	}
}

// observeOutcome takes the end of an attempt.
func (l *LearnedState) observeOutcome(now time.Duration, config Config, random *rand.Rand, o Outcome) {
	if boot, known := l.boots[o.Worker]; known && boot != o.Boot {
		l.failures.ForgetWorker(o.Worker)
	}
	l.boots[o.Worker] = o.Boot
	switch o.State {
	case hostapi.AttemptCompleted:
		l.failures.Completed(o.Worker, o.Job)
		l.ensureJob(o.Job).retries.Completed(o.ID.Task)
		if o.TaskRunTime > 0 {
			l.ensureProfile(now, o.Job).runTime.Observe(o.TaskRunTime)
		}
	case hostapi.AttemptFailed:
		l.observeFailure(now, config, random, o)
	}
}

// observeFailure takes a failed attempt. One that ran out of memory counts neither
// against the worker nor against the job, because the next attempt gets more
// memory.
func (l *LearnedState) observeFailure(now time.Duration, config Config, random *rand.Rand, o Outcome) {
	outOfMemory := config.Rules.Has(RuleLearnedSizes) && l.ensureProfile(now, o.Job).size.ObserveFailure(o.Requests, o.Used)
	if !outOfMemory {
		l.failures.Failed(now, o.Worker, o.Job, o.Message)
	}
	if config.Rules.Has(RuleRetryBudget) {
		l.ensureJob(o.Job).retries.Failed(now, random, o.ID.Task, o.Message)
	}
}

// forgetJob drops the state of one version of a job.
func (l *LearnedState) forgetJob(job string) {
	delete(l.jobs, job)
	l.failures.ForgetJob(job)
}

// hasFailed reports whether an attempt of the task has failed. Such a task does not
// preempt others: an urgent job that can't succeed would discard work at each
// retry.
func (l *LearnedState) hasFailed(t *Task) bool {
	j := l.jobs[t.Job]
	return j != nil && j.retries.Failures(t.ID) > 0
}

// retryState returns Waiting if a task may be placed now, and otherwise why and
// until when it may not.
func (l *LearnedState) retryState(config Config, now time.Duration, t *Task) (Verdict, time.Duration, string) {
	if config.Rules.Has(RuleParking) {
		if reason := l.failures.Parked(t.Job); reason != "" {
			return Parked, 0, reason
		}
	}
	j := l.jobs[t.Job]
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
