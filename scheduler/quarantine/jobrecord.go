package quarantine

import "time"

// jobRecord holds the workers that failed a job that has never succeeded.
type jobRecord struct {
	failed    map[string]time.Duration
	succeeded bool
	message   string
	// trialAt is when a task on trial was placed, or 0.
	trialAt time.Duration
	parked  bool
}
