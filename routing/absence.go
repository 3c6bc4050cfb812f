package routing

import "time"

// absence tracks since when an account is not listed. Only Update uses it,
// under the router's lock.
type absence struct {
	absent bool
	since  time.Duration
}

// over reports whether the account has not been listed for accountRetention.
func (a *absence) over(now time.Duration, listed bool) bool {
	switch {
	case listed:
		a.absent = false
	case !a.absent:
		a.absent = true
		a.since = now
	default:
		return now-a.since >= accountRetention
	}
	return false
}
