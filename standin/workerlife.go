package standin

import "time"

// workerLife is when a worker came up and went down, in the order of times.
type workerLife struct {
	changes []WorkerEvent
}

func (l *workerLife) add(e WorkerEvent) {
	if e.Change == WorkerUp || e.Change == WorkerDown {
		l.changes = append(l.changes, e)
	}
}

// wasUp reports whether the worker was up at a time.
func (l *workerLife) wasUp(at time.Duration) bool {
	up := false
	for _, e := range l.changes {
		if e.At <= at {
			up = e.Change == WorkerUp
		}
	}
	return up
}

// endOf returns the end of something that began at start: its own end, or when
// the worker went down, if that was earlier; 0 if it has not ended.
func (l *workerLife) endOf(start, end time.Duration) time.Duration {
	for _, e := range l.changes {
		if e.Change == WorkerDown && e.At >= start && (end == 0 || e.At < end) {
			return e.At
		}
	}
	return end
}
