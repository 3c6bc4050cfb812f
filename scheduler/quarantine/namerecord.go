package quarantine

import "time"

// nameRecord holds the failures of all versions of a job.
type nameRecord struct {
	// failed holds the times of the last failures by worker since the last
	// success.
	failed    map[string]time.Duration
	succeeded bool
	// parkedVersions is the number of parked versions since the last success.
	parkedVersions int
}

// maxNames is how many job names are kept before those without failures are
// dropped.
const maxNames = 20000

// dropIdleNames drops the job names without failures.
func (t *Tracker) dropIdleNames() {
	for name, n := range t.names {
		if len(n.failed) == 0 && n.parkedVersions == 0 {
			delete(t.names, name)
		}
	}
}
