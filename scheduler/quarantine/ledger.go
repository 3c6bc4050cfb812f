package quarantine

import (
	"fmt"
	"strings"
	"time"
)

const (
	// badJobs is how many jobs must fail on a worker without a success between
	// them. Two can be chance when jobs are often impossible.
	badJobs = 3
	// badWorkers is on how many workers a job must fail, without ever
	// succeeding, before it is parked.
	badWorkers = 3
	// badVersions is how many versions of a job must have been parked before
	// the next one is tried with one task at a time.
	badVersions = 2
	// memory is how long a failure counts.
	memory = 10 * time.Minute
	// firstProbe is the delay before the first probe; it doubles up to lastProbe.
	firstProbe = 30 * time.Second
	lastProbe  = 10 * time.Minute
	// probeTime is how long a probe may take before another may start.
	probeTime = 2 * time.Minute
)

// Ledger holds the failures by worker and by job.
type Ledger struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
	names   map[string]*nameRecord
}

// New returns a ledger without failures.
func New() *Ledger {
	return &Ledger{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}, names: map[string]*nameRecord{}}
}

func (l *Ledger) worker(id string) *workerRecord {
	w := l.workers[id]
	if w == nil {
		w = &workerRecord{failed: map[string]time.Duration{}, delay: firstProbe}
		l.workers[id] = w
	}
	return w
}

func (l *Ledger) job(id string) *jobRecord {
	j := l.jobs[id]
	if j == nil {
		j = &jobRecord{failed: map[string]time.Duration{}}
		l.jobs[id] = j
	}
	return j
}

// name returns the record of a job's name.
func (l *Ledger) name(job string) *nameRecord {
	name := nameOf(job)
	n := l.names[name]
	if n == nil {
		if len(l.names) >= maxNames {
			l.dropNames()
		}
		n = &nameRecord{failed: map[string]time.Duration{}}
		l.names[name] = n
	}
	return n
}

// Completed records that a worker completed a task of a job. It ends a
// quarantine of the worker.
func (l *Ledger) Completed(worker, job string) {
	delete(l.workers, worker)
	j := l.job(job)
	j.succeeded = true
	l.names[nameOf(job)] = &nameRecord{failed: map[string]time.Duration{}, succeeded: true}
	clear(j.failed)
}

// Failed records that a task of a job failed on a worker.
func (l *Ledger) Failed(now time.Duration, worker, job, message string) {
	w, j := l.worker(worker), l.job(job)
	j.message = message
	if !w.quarantined && !j.succeeded {
		j.failed[worker] = now
		l.park(job, j)
	}
	j.trialAt = 0
	if !w.quarantined {
		l.name(job).failed[worker] = now
	}
	if w.quarantined {
		w.delay = min(2*w.delay, lastProbe)
		w.probeAt = now + w.delay
		return
	}
	w.failed[nameOf(job)] = now
	if l.suspects(now, w) >= badJobs {
		w.quarantined = true
		w.probeAt = now + w.delay
		l.clear(worker)
	}
}

// suspects counts the jobs whose failure speaks against the worker: those that
// did not fail on several other workers too.
func (l *Ledger) suspects(now time.Duration, w *workerRecord) int {
	n := 0
	for name, at := range w.failed {
		if now-at > memory {
			delete(w.failed, name)
			continue
		}
		if r := l.name(name); r.succeeded || len(r.failed) < badWorkers {
			n++
		}
	}
	return n
}

// clear takes a quarantined worker's failures off the jobs' records. A job that
// was parked for these alone may run again.
func (l *Ledger) clear(worker string) {
	for _, n := range l.names {
		delete(n.failed, worker)
	}
	for job, j := range l.jobs {
		delete(j.failed, worker)
		if j.parked && len(j.failed) == 0 {
			j.parked = false
			l.name(job).parked--
		}
	}
}

// Quarantined reports whether a worker is out of use, and whether it may take
// a probe now.
func (l *Ledger) Quarantined(now time.Duration, worker string) (out, probe bool) {
	w := l.workers[worker]
	if w == nil || !w.quarantined {
		return false, false
	}
	return true, now >= w.probeAt
}

// Probing records that a probe was placed on a worker.
func (l *Ledger) Probing(now time.Duration, worker string) {
	if w := l.workers[worker]; w != nil {
		w.probeAt = now + probeTime
	}
}

// park parks a job that has failed on enough workers: one if it is on trial.
func (l *Ledger) park(job string, j *jobRecord) {
	enough := badWorkers
	if l.name(job).parked >= badVersions {
		enough = 1
	}
	if !j.parked && len(j.failed) >= enough {
		j.parked = true
		l.name(job).parked++
	}
}

// Trial reports whether a job may run only one task at a time, because earlier
// versions of it never succeeded, and whether that one is running.
func (l *Ledger) Trial(now time.Duration, job string) (trial, running bool) {
	if l.name(job).parked < badVersions {
		return false, false
	}
	j := l.job(job)
	return !j.succeeded, j.trialAt > 0 && now-j.trialAt < probeTime
}

// Trying records that a task of a job on trial was placed.
func (l *Ledger) Trying(now time.Duration, job string) {
	l.job(job).trialAt = max(now, 1)
}

// Parked returns why a job is parked, or "".
func (l *Ledger) Parked(job string) string {
	j := l.jobs[job]
	if j == nil || !j.parked || j.succeeded {
		return ""
	}
	return fmt.Sprintf("parked: tasks failed on %d workers and never succeeded; last failure: %s", len(j.failed), j.message)
}

// nameOf returns the name in a job id "<name>/<version>".
func nameOf(job string) string {
	name, _, _ := strings.Cut(job, "/")
	return name
}

// ForgetJob drops the record of one version of a job.
func (l *Ledger) ForgetJob(job string) {
	delete(l.jobs, job)
}

// Restarted drops a worker's record: another boot is another worker.
func (l *Ledger) Restarted(worker string) {
	delete(l.workers, worker)
}
