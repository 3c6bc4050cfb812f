package quarantine

import "time"

// workerRecord holds the failures on a worker since its last success, and its
// quarantine.
type workerRecord struct {
	// failed holds the times of the last failures by job name. The versions of a job
	// count as one: a job that always fails and recurs every second must not count
	// as many jobs.
	failed      map[string]time.Duration
	quarantined bool
	// probeAt is when the next probe may be placed.
	probeAt time.Duration
	// probeDelay is the delay before the first probe, or from a failed probe to the
	// next.
	probeDelay time.Duration
}
