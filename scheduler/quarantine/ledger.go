package quarantine

import (
	"fmt"
	"time"
)

const (
	// badJobs is how many jobs must fail on a worker without a success between
	// them. Two can be chance when jobs are often impossible.
	badJobs = 3
	// badWorkers is on how many workers a job must fail, without ever
	// succeeding, before it is parked.
	badWorkers = 3
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
}

// workerRecord holds the jobs whose tasks failed on a worker since its last success.
type workerRecord struct {
	failed      map[string]time.Duration
	quarantined bool
	probeAt     time.Duration
	delay       time.Duration
}

// jobRecord holds the workers that failed a job that has never succeeded.
type jobRecord struct {
	failed    map[string]time.Duration
	succeeded bool
	message   string
}

// New returns a ledger without failures.
func New() *Ledger {
	return &Ledger{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
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

// Completed records that a worker completed a task of a job. It ends a
// quarantine of the worker.
func (l *Ledger) Completed(worker, job string) {
	delete(l.workers, worker)
	j := l.job(job)
	j.succeeded = true
	clear(j.failed)
}

// Failed records that a task of a job failed on a worker.
func (l *Ledger) Failed(now time.Duration, worker, job, message string) {
	w, j := l.worker(worker), l.job(job)
	j.message = message
	if !w.quarantined && !j.succeeded {
		j.failed[worker] = now
	}
	if w.quarantined {
		w.delay = min(2*w.delay, lastProbe)
		w.probeAt = now + w.delay
		return
	}
	w.failed[job] = now
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
	for job, at := range w.failed {
		if now-at > memory {
			delete(w.failed, job)
			continue
		}
		if j := l.job(job); j.succeeded || len(j.failed) < badWorkers {
			n++
		}
	}
	return n
}

// clear takes a quarantined worker's failures off the jobs' records.
func (l *Ledger) clear(worker string) {
	for _, j := range l.jobs {
		delete(j.failed, worker)
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

// Parked returns why a job is parked, or "".
func (l *Ledger) Parked(job string) string {
	j := l.jobs[job]
	if j == nil || len(j.failed) < badWorkers {
		return ""
	}
	return fmt.Sprintf("parked: tasks failed on %d workers and never succeeded; last failure: %s", len(j.failed), j.message)
}

// ForgetJob drops a job's record and its marks on workers.
func (l *Ledger) ForgetJob(job string) {
	delete(l.jobs, job)
	for _, w := range l.workers {
		delete(w.failed, job)
	}
}

// Restarted drops a worker's record: another boot is another worker.
func (l *Ledger) Restarted(worker string) {
	delete(l.workers, worker)
}
