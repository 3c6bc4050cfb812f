package soak_test

import "sync"

// faultLimit admits lasting faults: one at a time for each target, and a number at a time.
type faultLimit struct {
	mu   sync.Mutex
	most int
	// inProgress is the number of faults in progress, busy has their targets.
	inProgress int
	busy       map[string]bool
	closed     bool
	ended      *sync.Cond
}

func newFaultLimit(most int) *faultLimit {
	l := &faultLimit{most: most, busy: make(map[string]bool)}
	l.ended = sync.NewCond(&l.mu)
	return l
}

// begin reports whether a fault of the targets may begin now.
func (l *faultLimit) begin(targets []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inProgress >= l.most {
		return false
	}
	for _, target := range targets {
		if l.busy[target] {
			return false
		}
	}
	l.inProgress++
	for _, target := range targets {
		l.busy[target] = true
	}
	return true
}

func (l *faultLimit) end(targets []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
	for _, target := range targets {
		delete(l.busy, target)
	}
	l.ended.Broadcast()
}

// closeAndWait admits no more faults and waits until none is in progress.
func (l *faultLimit) closeAndWait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for l.inProgress > 0 {
		l.ended.Wait()
	}
}
