package soak_test

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/platform/platformtest"
)

// injectFault starts a random fault of limited duration.
func (s *seedRun) injectFault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	worker := s.random.IntN(len(s.workers))
	workerProxy := s.workerProxies[worker]
	duration := time.Duration(200+s.random.IntN(3500)) * time.Millisecond
	switch s.random.IntN(s.faultKinds) {
	case 0:
		s.runFault(func() { p.kill(); time.Sleep(duration / 4); p.start() })
	case 1:
		s.runFault(func() { p.signal(syscall.SIGSTOP); time.Sleep(duration); p.signal(syscall.SIGCONT) })
	case 2:
		s.runFault(p.restartGracefully)
	case 3:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.blockRequests, p.storeProxy.blockResponses = true, true })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
		})
	case 4:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.blockResponses = true })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
		})
	case 5:
		p.storeProxy.reset()
		workerProxy.reset()
	case 6:
		s.runFault(func() {
			workerProxy.update(func() { workerProxy.blockRequests = true })
			time.Sleep(duration)
			workerProxy.clearFaults()
		})
	case 7:
		s.runFault(func() {
			workerProxy.update(func() { workerProxy.blockResponses = true })
			time.Sleep(duration)
			workerProxy.clearFaults()
		})
	case 8:
		// A restart closes the connections of the old incarnation, so that no
		// delayed command reaches the new one.
		workerProxy.reset()
		s.workers[worker].Restart()
	case 9:
		s.runFault(func() {
			s.store.SetFault(platformtest.Fault{LostResponseShare: 0.3, Delay: 20 * time.Millisecond})
			time.Sleep(duration)
			s.store.SetFault(platformtest.Fault{})
		})
	case 10:
		s.runFault(func() {
			s.store.SetFault(platformtest.Fault{Status: http.StatusServiceUnavailable})
			time.Sleep(duration)
			s.store.SetFault(platformtest.Fault{})
		})
	case 11:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.delay = duration / 20 })
			workerProxy.update(func() { workerProxy.delay = duration / 20 })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
			workerProxy.clearFaults()
		})
	}
}

// faultInProgress admits one lasting fault at a time; runFault skips a fault while
// another one is in progress. Otherwise concurrent faults of one process could
// undo each other's signals.
var faultInProgress sync.Mutex

func (s *seedRun) runFault(fault func()) {
	s.goroutines.Go(func() {
		if !faultInProgress.TryLock() {
			return
		}
		defer faultInProgress.Unlock()
		fault()
	})
}

func (s *seedRun) clearFaults() {
	faultInProgress.Lock()
	defer faultInProgress.Unlock()
	s.store.SetFault(platformtest.Fault{})
	for _, p := range s.processes {
		p.storeProxy.clearFaults()
		p.signal(syscall.SIGCONT)
		p.start()
	}
	for _, p := range s.workerProxies {
		p.clearFaults()
	}
}
