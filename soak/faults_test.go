package soak_test

import (
	"net/http"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/platform/platformtest"
)

// injectFault starts a random fault of limited duration.
func (s *seedRun) injectFault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	worker := s.random.IntN(len(s.workers))
	workerProxy, workerName := s.workerProxies[worker], s.workers[worker].ID
	duration := time.Duration(200+s.random.IntN(3500)) * time.Millisecond
	switch s.random.IntN(s.profile.faultKinds) {
	case 0:
		s.runFault(func() { p.kill(); time.Sleep(duration / 4); p.start() }, p.name)
	case 1:
		s.runFault(func() { p.signal(syscall.SIGSTOP); time.Sleep(duration); p.signal(syscall.SIGCONT) }, p.name)
	case 2:
		s.runFault(p.restartGracefully, p.name)
	case 3:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.blockRequests, p.storeProxy.blockResponses = true, true })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
		}, p.name)
	case 4:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.blockResponses = true })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
		}, p.name)
	case 5:
		p.storeProxy.reset()
		workerProxy.reset()
	case 6:
		s.runFault(func() {
			workerProxy.update(func() { workerProxy.blockRequests = true })
			time.Sleep(duration)
			workerProxy.clearFaults()
		}, workerName)
	case 7:
		s.runFault(func() {
			workerProxy.update(func() { workerProxy.blockResponses = true })
			time.Sleep(duration)
			workerProxy.clearFaults()
		}, workerName)
	case 8:
		// A restart closes the connections of the old incarnation, so that no
		// delayed command reaches the new one.
		if s.workerStates[worker].isUp() {
			workerProxy.reset()
			s.workers[worker].Restart()
		}
	case 9:
		s.runFault(func() {
			s.store.SetFault(platformtest.Fault{LostResponseShare: 0.3, Delay: 20 * time.Millisecond})
			time.Sleep(duration)
			s.store.SetFault(platformtest.Fault{})
		}, "store")
	case 10:
		s.runFault(func() {
			s.store.SetFault(platformtest.Fault{Status: http.StatusServiceUnavailable})
			time.Sleep(duration)
			s.store.SetFault(platformtest.Fault{})
		}, "store")
	case 11:
		s.runFault(func() {
			p.storeProxy.update(func() { p.storeProxy.delay = duration / 20 })
			workerProxy.update(func() { workerProxy.delay = duration / 20 })
			time.Sleep(duration)
			p.storeProxy.clearFaults()
			workerProxy.clearFaults()
		}, p.name, workerName)
	case 12:
		away := 6*time.Second + duration
		removed := s.random.IntN(2) == 0
		s.runFault(func() { s.stayAway(worker, away, removed) }, workerName)
	case 13:
		s.runFault(func() { s.drainAndLeave(worker, time.Second+duration/2, duration) }, workerName)
	case 14:
		interval := 300*time.Millisecond + duration/5
		s.runFault(func() { s.dealCellsAnew(interval, 2*duration) }, "group")
	case 15:
		refusing, target := p.storeProxy, p.name
		if s.random.IntN(2) == 0 {
			refusing, target = workerProxy, workerName
		}
		s.runFault(func() {
			if err := refusing.refuse(duration); err != nil {
				s.t.Error(err)
			}
		}, target)
	}
}

// dealCellsAnew deals the cells anew at intervals for a time.
func (s *seedRun) dealCellsAnew(interval, duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
		s.store.DealAnew()
	}
}

// runFault runs a lasting fault of some targets: processes, workers, the store and its group. It skips
// the fault while one of the targets has another one, because concurrent faults of one target
// could undo each other, or while as many faults as the seed allows are in progress.
func (s *seedRun) runFault(fault func(), targets ...string) {
	s.goroutines.Go(func() {
		if !s.faults.begin(targets) {
			return
		}
		defer s.faults.end(targets)
		fault()
	})
}

func (s *seedRun) clearFaults() {
	s.faults.closeAndWait()
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
