package quarantine

import (
	"fmt"
	"strings"
	"time"
)

const (
	// minFailedJobs is how many jobs must fail on a worker, without a success in
	// between, before it is quarantined. Two can be coincidence when many jobs
	// fail on every worker.
	minFailedJobs = 3
	// minFailedWorkers is the number of workers on which a job must fail, without
	// ever succeeding, before it is parked.
	minFailedWorkers = 3
	// minParkedVersions is how many versions of a job must have been parked before
	// the next version is on trial, with one task at a time.
	minParkedVersions = 2
	// failureRetention is how long a failure counts.
	failureRetention = 10 * time.Minute
	// initialProbeDelay is the delay before the first probe. It doubles after each
	// failed probe, up to maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
	// probeTimeout is how long a probe may take before another may start.
	probeTimeout = 2 * time.Minute
)

// Tracker tracks failures by worker, by job version and by job name.
type Tracker struct {
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
	names   map[string]*nameRecord
}

// New returns a tracker without failures.
func New() *Tracker {
	return &Tracker{workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}, names: map[string]*nameRecord{}}
}

func (t *Tracker) ensureWorker(id string) *workerRecord {
	w := t.workers[id]
	if w == nil {
		w = &workerRecord{failed: map[string]time.Duration{}, probeDelay: initialProbeDelay}
		t.workers[id] = w
	}
	return w
}

func (t *Tracker) ensureJob(id string) *jobRecord {
	j := t.jobs[id]
	if j == nil {
		j = &jobRecord{failed: map[string]time.Duration{}}
		t.jobs[id] = j
	}
	return j
}

// ensureName returns the record of a job's name, and creates it if there is none.
func (t *Tracker) ensureName(job string) *nameRecord {
	name := jobName(job)
	n := t.names[name]
	if n == nil {
		t.limitNames()
		n = &nameRecord{failed: map[string]time.Duration{}}
		t.names[name] = n
	}
	return n
}

// Completed records that a worker completed a task of a job. It ends the
// quarantine of the worker.
func (t *Tracker) Completed(worker, job string) {
	delete(t.workers, worker)
	j := t.ensureJob(job)
	j.succeeded, j.parked = true, false
	t.names[jobName(job)] = &nameRecord{failed: map[string]time.Duration{}, succeeded: true}
	clear(j.failed)
}

// Failed records that a task of a job failed on a worker.
func (t *Tracker) Failed(now time.Duration, worker, job, message string) {
	w, j := t.ensureWorker(worker), t.ensureJob(job)
	j.lastFailure = message
	if !w.quarantined && !j.succeeded {
		j.failed[worker] = now
		t.park(job, j)
	}
	j.trialAt = 0
	if !w.quarantined {
		t.ensureName(job).failed[worker] = now
	}
	if w.quarantined {
		w.probeDelay = min(2*w.probeDelay, maxProbeDelay)
		w.probeAt = now + w.probeDelay
		return
	}
	w.failed[jobName(job)] = now
	if t.attributableFailures(now, w) >= minFailedJobs {
		w.quarantined = true
		w.probeAt = now + w.probeDelay
		t.discountWorker(worker)
	}
}

// attributableFailures returns the number of jobs whose failure is attributed to
// the worker: those that have succeeded, or have failed on fewer than
// minFailedWorkers workers. Any other job is itself the likely cause of its
// failures.
func (t *Tracker) attributableFailures(now time.Duration, w *workerRecord) int {
	n := 0
	for name, at := range w.failed {
		if now-at > failureRetention {
			delete(w.failed, name)
			continue
		}
		if r := t.ensureName(name); r.succeeded || len(r.failed) < minFailedWorkers {
			n++
		}
	}
	return n
}

// discountWorker removes a quarantined worker's failures from the records of jobs. A
// job that was parked only because of these may run again.
func (t *Tracker) discountWorker(worker string) {
	for _, n := range t.names {
		delete(n.failed, worker)
	}
	for job, j := range t.jobs {
		delete(j.failed, worker)
		if j.parked && len(j.failed) == 0 {
			j.parked = false
			t.ensureName(job).parkedVersions--
		}
	}
}

// Quarantined reports whether a worker is quarantined, and whether a probe may be
// placed on it now.
func (t *Tracker) Quarantined(now time.Duration, worker string) (quarantined, probe bool) {
	w := t.workers[worker]
	if w == nil || !w.quarantined {
		return false, false
	}
	return true, now >= w.probeAt
}

// ProbePlaced records that a probe was placed on a worker.
func (t *Tracker) ProbePlaced(now time.Duration, worker string) {
	if w := t.workers[worker]; w != nil {
		w.probeAt = now + probeTimeout
	}
}

// park parks a job that has failed on enough workers. One worker is enough for a
// job on trial.
func (t *Tracker) park(job string, j *jobRecord) {
	required := minFailedWorkers
	if t.ensureName(job).parkedVersions >= minParkedVersions {
		required = 1
	}
	if !j.parked && len(j.failed) >= required {
		j.parked = true
		t.ensureName(job).parkedVersions++
	}
}

// Trial reports whether a job is on trial, which means that it may run only one task
// at a time because earlier versions of it never succeeded, and whether that task is
// running.
func (t *Tracker) Trial(now time.Duration, job string) (trial, running bool) {
	if t.ensureName(job).parkedVersions < minParkedVersions {
		return false, false
	}
	j := t.ensureJob(job)
	return !j.succeeded, j.trialAt > 0 && now-j.trialAt < probeTimeout
}

// TrialPlaced records that a task of a job on trial was placed.
func (t *Tracker) TrialPlaced(now time.Duration, job string) {
	t.ensureJob(job).trialAt = max(now, 1)
}

// Parked returns the reason why a job is parked, or "" if it is not.
func (t *Tracker) Parked(job string) string {
	j := t.jobs[job]
	if j == nil || !j.parked || j.succeeded {
		return ""
	}
	return fmt.Sprintf("parked: tasks failed on %d workers and never succeeded; last failure: %s", len(j.failed), j.lastFailure)
}

// jobName returns the name in a job id "<name>/<version>".
func jobName(job string) string {
	name, _, _ := strings.Cut(job, "/")
	return name
}

// ForgetJob drops the record of one version of a job.
func (t *Tracker) ForgetJob(job string) {
	delete(t.jobs, job)
}

// ForgetWorker drops a worker's record. It is called when the worker has restarted:
// failures before a restart don't count after it.
func (t *Tracker) ForgetWorker(worker string) {
	delete(t.workers, worker)
}
