package dispatch_test

import "time"

func (s *sim) delay(ms int) time.Duration {
	return time.Duration(1+s.random.IntN(2*ms)) * time.Millisecond
}

// sendCommand carries a command to a worker and its answer back. Both may be lost,
// and a lost command may be carried out seconds later.
func (s *sim) sendCommand(do func() (any, bool), answered func(answer any, lost bool)) {
	const timeout = 700 * time.Millisecond
	late := s.faulty && s.random.IntN(10) == 0
	lost := s.faulty && s.random.IntN(10) == 0
	if late {
		s.after(time.Duration(s.random.IntN(9000))*time.Millisecond, func() { do() })
		s.after(timeout, func() { answered(nil, true) })
		return
	}
	left := timeout
	var attempt func()
	attempt = func() {
		answer, ok := do()
		if !ok && s.crashes.takesFormerCalls {
			if pause := s.delay(200); pause < left {
				left -= pause
				s.after(pause, attempt)
				return
			}
		}
		if !ok && s.crashes.reset {
			s.after(s.delay(5), func() { answered(nil, true) })
			return
		}
		if !ok || lost {
			s.after(left, func() { answered(nil, true) })
			return
		}
		s.after(s.delay(5), func() { answered(answer, false) })
	}
	s.after(s.delay(5), attempt)
}
