package dispatch_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
)

// injectFault injects a random fault and schedules its end.
func (s *sim) injectFault() {
	w := s.workers[fmt.Sprintf("w%d", s.random.IntN(len(s.workers)))]
	last := time.Duration(500+s.random.IntN(8000)) * time.Millisecond
	switch s.random.IntN(6) {
	case 5:
		// The log answers no appends. In half of the cases another owner opens the
		// next epoch before the waiting appends are carried out.
		s.logDownUntil = max(s.logDownUntil, s.now+last)
		if s.random.IntN(2) == 0 {
			s.after(last-time.Millisecond, func() { s.openEpoch() })
		}
	case 0:
		w.Partitioned = true
		s.after(last, func() { w.Partitioned = false })
	case 1:
		w.Up = false
		s.after(last, func() { s.reboot(w) })
	case 2:
		s.reboot(w)
	case 4:
		if s.removed < 2 {
			s.removed++
			w.Up, w.Removed = false, true
		}
	case 3:
		previous := s.owner()
		previous.frozen = true
		s.after(1500*time.Millisecond, func() { s.openEpoch() })
		s.after(last, func() { previous.frozen = false })
	}
}

func (s *sim) reboot(w *dispatchtest.Worker) {
	if !w.Removed {
		w.Reboot(s.now)
		if s.crashes.newIDs {
			w.Info.Worker = fmt.Sprintf("%s-%d", w.Info.Address, w.Info.StartMillis)
		}
	}
}

func (s *sim) endFaults() {
	s.faulty = false
	for _, w := range s.workers {
		w.Partitioned = false
		if !w.Up && !w.Removed {
			w.Reboot(s.now)
		}
	}
}

// at returns the worker that a command reaches, or nil if another incarnation answers at
// the address and tells the two apart, and whether there is an answer.
func (s *sim) at(target dispatch.Target) (w *dispatchtest.Worker, answers bool) {
	w = s.workers[target.Address]
	switch {
	case !w.Up || w.Partitioned:
		return nil, false
	case w.Info.Incarnation == target.Incarnation, s.crashes.takesFormerCalls:
		return w, true
	}
	return nil, s.crashes.newIDs
}
