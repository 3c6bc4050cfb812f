package dispatch_test

import (
	"fmt"
	"time"
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
		w.partitioned = true
		s.after(last, func() { w.partitioned = false })
	case 1:
		w.up = false
		s.after(last, func() { s.reboot(w) })
	case 2:
		s.reboot(w)
	case 4:
		if s.removed < 2 {
			s.removed++
			w.up, w.removed = false, true
		}
	case 3:
		previous := s.owner()
		previous.frozen = true
		s.after(1500*time.Millisecond, func() { s.openEpoch() })
		s.after(last, func() { previous.frozen = false })
	}
}

func (s *sim) reboot(w *simWorker) {
	if !w.removed {
		w.reboot(s.now)
		if s.crashes.newIDs {
			w.info.Worker = fmt.Sprintf("%s-%d", w.info.Address, w.info.StartMillis)
		}
	}
}

func (s *sim) endFaults() {
	s.faulty = false
	for _, w := range s.workers {
		w.partitioned = false
		if !w.up && !w.removed {
			w.reboot(s.now)
		}
	}
}
