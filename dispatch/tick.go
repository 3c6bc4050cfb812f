package dispatch

import "time"

// tick removes runs whose lease has expired and sends the commands and heartbeats
// that are due.
func (m *Machine) tick(wall time.Time) {
	m.wall = wall
	if m.now-m.plannedAt >= replanInterval {
		m.planNeeded = true
	}
	m.releasePlaces()
	for _, w := range m.sorted {
		if (w.silent || w.Address == "") && w.leasesExpired(m.now) && len(w.runs) > 0 {
			m.workerLost(w)
			m.recordExpiry(w)
			m.abandonRuns(w, "lease has expired")
		}
		w.forgetExpiredUnknownRuns(m.now)
		if !w.listed && !w.heartbeatInFlight && (!w.needsHeartbeat(m.now) || w.hasLeft(m.now)) {
			m.removeWorker(w)
			continue
		}
		if w.Draining {
			m.stopLeaving(w)
		}
		m.retryCommands(w)
		m.startRecorded(w)
		m.suspendUnreported(w)
		m.heartbeatIfDue(w)
	}
	m.reportExpiredViews()
	m.recordSilences()
	m.recordSole()
	m.forgetSilences()
	m.stopStalledRuns()
	m.reportWaiting()
	m.observeTimeUses()
	m.observeOutlook()
	m.reportOverdue()
	m.reportServing()
	m.reportTenants()
	m.reportLeaseWaits()
	m.reportFinalRuns()
	if m.config.CellOf != nil {
		m.transferWaiting()
		m.checkGuests()
	}
	m.recordModel()
}
