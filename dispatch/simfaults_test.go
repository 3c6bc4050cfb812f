package dispatch_test

import (
	"fmt"
	"time"
)

// fault brings one trouble and its end.
func (s *sim) fault() {
	w := s.workers[fmt.Sprintf("w%d", s.random.IntN(len(s.workers)))]
	last := time.Duration(500+s.random.IntN(8000)) * time.Millisecond
	switch s.random.IntN(6) {
	case 5:
		// The log answers no appends; half of the time another owner opens the
		// next epoch before the appends that wait.
		s.logDownUntil = max(s.logDownUntil, s.now+last)
		if s.random.IntN(2) == 0 {
			s.after(last-time.Millisecond, func() { s.open() })
		}
	case 0:
		w.cut = true
		s.after(last, func() { w.cut = false })
	case 1:
		w.up = false
		s.after(last, func() { s.reboot(w) })
	case 2:
		s.reboot(w)
	case 4:
		if s.gone < 2 {
			s.gone++
			w.up, w.gone = false, true
		}
	case 3:
		former := s.owner()
		former.frozen = true
		s.after(1500*time.Millisecond, func() { s.open() })
		s.after(last, func() { former.frozen = false })
	}
}

func (s *sim) reboot(w *simWorker) {
	if !w.gone {
		w.reboot(s.now)
	}
}

func (s *sim) heal() {
	s.faulty = false
	for _, w := range s.workers {
		w.cut = false
		if !w.up && !w.gone {
			w.reboot(s.now)
		}
	}
}
