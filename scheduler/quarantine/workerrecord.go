package quarantine

import "time"

// workerRecord holds the names of the jobs whose tasks failed on a worker since
// its last success. Versions of one job don't count apart: an impossible job
// that recurs every second must not look like many jobs.
type workerRecord struct {
	failed      map[string]time.Duration
	quarantined bool
	probeAt     time.Duration
	delay       time.Duration
}
