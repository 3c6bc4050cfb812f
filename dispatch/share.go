package dispatch

// paceAnswered notes a change of pace; the next report confirms it.
func (m *Machine) paceAnswered(ev PaceAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[ev.Run]
	if r == nil {
		return
	}
	r.inFlight = false
	switch ev.Answer {
	case Fenced:
		m.emit(Retire{Worker: w.ID()})
	case Done:
	default:
		r.wanted = 100
	}
}
