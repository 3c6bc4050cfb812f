package soak_test

import (
	"sync"
	"time"
)

// workerState is what the entry of a worker says.
type workerState struct {
	mu sync.Mutex
	// removed: there is no entry.
	removed bool
	// leavesAt is when a draining worker leaves, or zero.
	leavesAt time.Time
}

// isUp reports whether the worker is listed and does not drain.
func (w *workerState) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.removed && w.leavesAt.IsZero()
}

func (w *workerState) set(removed bool, leavesAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed, w.leavesAt = removed, leavesAt
}

// silenceUntilRemoved is the time after which the platform removes the entry of a worker
// that it does not hear.
const silenceUntilRemoved = 1500 * time.Millisecond

// stayAway cuts a worker off for longer than its leases. Its entry may be removed meanwhile.
// It comes back as the same incarnation, whose runs have lapsed.
func (s *seedRun) stayAway(worker int, duration time.Duration, removed bool) {
	s.t.Logf("%s stays away for %v, its entry is removed: %v", s.workers[worker].ID, duration, removed)
	proxy, state := s.workerProxies[worker], s.workerStates[worker]
	proxy.update(func() { proxy.blockRequests, proxy.blockResponses = true, true })
	time.Sleep(silenceUntilRemoved)
	if removed {
		state.set(true, time.Time{})
		s.announceWorker(worker)
	}
	time.Sleep(duration - silenceUntilRemoved)
	proxy.clearFaults()
	state.set(false, time.Time{})
	s.announceWorker(worker)
}

// drainAndLeave has a worker announce that it drains, serve on for that time, and leave with
// all that runs on it. Its successor, of the same id, comes after a pause.
func (s *seedRun) drainAndLeave(worker int, drain, pause time.Duration) {
	s.t.Logf("%s drains for %v, leaves and is replaced after %v", s.workers[worker].ID, drain, pause)
	proxy, state := s.workerProxies[worker], s.workerStates[worker]
	state.set(false, time.Now().Add(drain))
	s.announceWorker(worker)
	time.Sleep(drain)
	proxy.update(func() { proxy.blockRequests, proxy.blockResponses = true, true })
	proxy.reset()
	s.workers[worker].Restart()
	state.set(true, time.Time{})
	s.announceWorker(worker)
	time.Sleep(pause)
	// No command of before reaches the successor.
	proxy.reset()
	s.workers[worker].Restart()
	proxy.clearFaults()
	state.set(false, time.Time{})
	s.announceWorker(worker)
}
