package soak_test

import (
	"sync"
	"time"
)

// maxRestartDelay is the time within which the restarts of all coordinators begin.
const maxRestartDelay = 500 * time.Millisecond

// restartAll restarts all coordinators in an arbitrary order, without waiting for one before
// the next. Some are killed.
func (s *seedRun) restartAll() {
	var restarts sync.WaitGroup
	for _, p := range s.processes {
		delay := time.Duration(s.random.Int64N(int64(maxRestartDelay)))
		killed := s.random.IntN(3) == 0
		restarts.Go(func() {
			time.Sleep(delay)
			if !killed {
				p.restartGracefully()
				return
			}
			p.kill()
			p.start()
		})
	}
	restarts.Wait()
}

// upgrade replaces the program of one process after the other within a time. A process that
// has another fault is replaced after it.
func (s *seedRun) upgrade(binary string, duration time.Duration) {
	deadline := time.Now().Add(duration)
	interval := duration / time.Duration(len(s.processes)/2+1)
	for _, p := range s.processes {
		if p.binary == binary {
			continue
		}
		time.Sleep(interval)
		for !s.faults.begin([]string{p.name}) {
			if time.Now().After(deadline) {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.t.Logf("%s is upgraded", p.name)
		p.binary = binary
		p.restartGracefully()
		s.faults.end([]string{p.name})
	}
}

// finishUpgrade replaces the programs that upgrade has left.
func (s *seedRun) finishUpgrade(binary string) {
	for _, p := range s.processes {
		if p.binary != binary {
			p.binary = binary
			p.restartGracefully()
		}
	}
}
