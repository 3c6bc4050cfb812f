package dispatch

// repeatStart sends the start of a run again that was not answered, unless the run must
// not be started any more or too many starts are in flight.
func (m *Machine) repeatStart(r *run) {
	if m.starts.room() > 0 && m.startBlocker(r) == "" {
		m.sendStart(r)
	}
}

// stopBlocked stops a run that its worker does not list and whose start was not answered,
// if the start must not be repeated. The run is stopped rather than removed because the
// unanswered command may still be carried out. It waits while a guest is not confirmed,
// the worker is still recorded as silent, or a view is too old.
func (m *Machine) stopBlocked(r *run) {
	reason := m.startBlocker(r)
	if reason == "" || reason == viewTooOld || m.unconfirmed(r.entry) || r.worker.bar != leasesAllowed {
		return
	}
	m.stopGang(r)
	m.stopRun(r, reason)
}
