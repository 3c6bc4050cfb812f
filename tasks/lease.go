package tasks

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

const (
	serviceKind = api.KindService
	noDeadline  = time.Duration(math.MaxInt64)
)

// leaseExpiry returns the end of a lease granted now, on the worker's clock.
// It is at most Config.Lease after the present time of that clock.
func (m *Machine) leaseExpiry(w *worker) time.Duration {
	return w.deadline(&m.config, m.now) + m.config.Lease
}

// renewLeases extends the leases of the attempts on reachable workers. A worker
// that does not answer gets no renewals, so that its leases expire even if the
// network fails in one direction only.
func (m *Machine) renewLeases() {
	if m.rescue {
		return
	}
	for _, w := range m.sortedWorkers {
		if !m.reachable(w) || !w.fenced(m.ownTerm) || m.now-w.renewedAt < m.config.RenewEvery {
			continue
		}
		command, ok := m.newCommand(w, w.boot)
		if !ok {
			continue
		}
		renewals := m.renewalsFor(w)
		if len(renewals) == 0 {
			continue
		}
		w.renewedAt = m.now
		m.emit(Renew{Worker: w.id, Command: command, Renewals: renewals})
	}
}

func (m *Machine) renewalsFor(w *worker) []hostapi.Renewal {
	var renewals []hostapi.Renewal
	for _, id := range m.sortedTaskIDs() {
		t := m.tasks[id]
		if !t.live || t.worker != w.id || t.boot != w.boot || !t.started || t.endToRecord != nil || t.inFlight.GetEnded() != nil {
			continue
		}
		renewals = append(renewals, hostapi.Renewal{ID: t.attemptID(), LeaseExpiry: m.leaseExpiry(w)})
		t.leaseEnd = max(t.leaseEnd, m.now+m.config.withDriftMargin(m.config.Lease))
	}
	return renewals
}

// leaseExpired reports whether the lease of a live attempt has certainly expired
// on the worker's clock.
func (m *Machine) leaseExpired(t *task) bool {
	if t.leaseEnd != 0 {
		if m.config.Unsafe.NoLeaseDrift {
			return m.now >= t.leaseEnd-(m.config.withDriftMargin(m.config.Lease)-m.config.Lease)
		}
		return m.now >= t.leaseEnd
	}
	if t.placedTerm == m.ownTerm {
		return false
	}
	return m.now >= m.inheritedLeaseEnd()
}

// inheritedLeaseEnd returns the local time by which all leases that previous
// owners granted or renewed have expired. It applies to attempts on a worker that
// has not answered in this term. A previous owner renews leases until it is gone
// or the offline limit has passed.
func (m *Machine) inheritedLeaseEnd() time.Duration {
	lease := m.config.withDriftMargin(m.config.Lease)
	if m.predecessors == 0 || m.config.Unsafe.NoPredecessorWait {
		return m.predecessorsGoneAt + lease
	}
	return m.ownedAt + m.config.withDriftMargin(m.config.OfflineLimit) + lease
}

// endLapsedAttempt ends the live attempt because its lease has certainly expired.
func (m *Machine) endLapsedAttempt(t *task) {
	m.endAttempt(t, &recordpb.Ended{
		Outcome: recordpb.Outcome_OUTCOME_LAPSED,
		Message: "lease ended without an answer of the worker",
	})
}
