package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// nameRecord holds the failures of all versions of a job.
type nameRecord struct {
	// failed holds the times of the last failures by worker since the last
	// success.
	failed    map[string]time.Duration
	succeeded bool
	// parkedVersions is the number of parked versions since the last success.
	parkedVersions int
}

// maxNames is the maximum number of job names that are kept.
const maxNames = 20000

// nameDropShare is the fraction of the names that is dropped at once, so that the search
// for the oldest is rare.
const nameDropShare = 10

// limitNames makes room for another name: it drops the names without failures, and if none
// has room then, those whose last failure is the oldest.
func (t *Tracker) limitNames() {
	if len(t.names) < maxNames {
		return
	}
	for name, n := range t.names {
		if len(n.failed) == 0 && n.parkedVersions == 0 {
			delete(t.names, name)
		}
	}
	if len(t.names) < maxNames {
		return
	}
	names := slices.SortedFunc(maps.Keys(t.names), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.names[a].lastFailure(), t.names[b].lastFailure()), cmp.Compare(a, b))
	})
	for _, name := range names[:maxNames/nameDropShare] {
		delete(t.names, name)
	}
}

// lastFailure returns the time of the last failure, or 0.
func (n *nameRecord) lastFailure() time.Duration {
	last := time.Duration(0)
	for _, at := range n.failed {
		last = max(last, at)
	}
	return last
}
