package quarantine

import "time"

// nameRecord holds what is known of all versions of a job.
type nameRecord struct {
	// failed holds the workers that failed a version since the last success.
	failed    map[string]time.Duration
	succeeded bool
	// parked counts the parked versions since the last success.
	parked int
}

// maxNames bounds the names that are kept; names without failures go first.
const maxNames = 20000

// dropNames drops the names without failures.
func (l *Ledger) dropNames() {
	for name, n := range l.names {
		if len(n.failed) == 0 && n.parked == 0 {
			delete(l.names, name)
		}
	}
}
