package routing

import "time"

// absence tracks how long a worker or server has been missing from the
// snapshots. Only Update uses it, under the router's lock.
type absence struct {
	absent bool
	since  time.Duration
}

// expired records whether the object is listed now and reports whether it has
// been missing for at least unlistedRetention.
func (a *absence) expired(now time.Duration, listed bool) bool {
	switch {
	case listed:
		a.absent = false
	case !a.absent:
		a.absent = true
		a.since = now
	default:
		return now-a.since >= unlistedRetention
	}
	return false
}
