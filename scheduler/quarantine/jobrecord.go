package quarantine

import "time"

// jobRecord holds the failures of one version of a job.
type jobRecord struct {
	// failed holds the times of the last failures by worker, as long as no task has
	// succeeded.
	failed    map[string]time.Duration
	succeeded bool
	// lastFailure is the message of the last failure.
	lastFailure string
	// trialAt is when a task on trial was placed, or 0.
	trialAt time.Duration
	parked  bool
}
