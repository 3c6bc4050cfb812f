package standin

import "time"

// workerUptime holds the times at which a worker came up and went down, in
// ascending order.
type workerUptime struct {
	changes []WorkerEvent
}

func (u *workerUptime) add(e WorkerEvent) {
	if e.Change == WorkerUp || e.Change == WorkerDown {
		u.changes = append(u.changes, e)
	}
}

// wasUp reports whether the worker was up at the given time.
func (u *workerUptime) wasUp(at time.Duration) bool {
	up := false
	for _, e := range u.changes {
		if e.At <= at {
			up = e.Change == WorkerUp
		}
	}
	return up
}

// effectiveEnd returns the end of a request or connection that began at start:
// its recorded end or the time when the worker went down, whichever is earlier.
// It returns 0 if neither has happened.
func (u *workerUptime) effectiveEnd(start, end time.Duration) time.Duration {
	for _, e := range u.changes {
		if e.Change == WorkerDown && e.At >= start && (end == 0 || e.At < end) {
			return e.At
		}
	}
	return end
}
