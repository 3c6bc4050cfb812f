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
// It is at most Lease after the worker's clock at this moment.
func (m *Machine) leaseExpiry(w *worker) time.Duration {
	return w.deadline(&m.config, m.now) + m.config.Lease
}

// renew extends the leases of the attempts on the workers that answer. An
// unreachable worker gets no renewals, so that its leases end even if the
// link is only cut in one direction.
func (m *Machine) renew() {
	if m.rescue {
		return
	}
	for _, w := range m.byID {
		if !m.reachable(w) || !w.fenced(m.ownTerm) || m.now-w.renewedAt < m.config.RenewEvery {
			continue
		}
		command, ok := m.command(w, w.boot)
		if !ok {
			continue
		}
		renewals := m.renewals(w)
		if len(renewals) == 0 {
			continue
		}
		w.renewedAt = m.now
		m.emit(Renew{Worker: w.id, Command: command, Renewals: renewals})
	}
}

func (m *Machine) renewals(w *worker) []hostapi.Renewal {
	var renewals []hostapi.Renewal
	for _, id := range m.sorted() {
		t := m.tasks[id]
		if !t.live || t.worker != w.id || t.boot != w.boot || !t.started || t.ended != nil || t.inFlight.GetEnded() != nil {
			continue
		}
		renewals = append(renewals, hostapi.Renewal{ID: t.attemptID(), LeaseExpiry: m.leaseExpiry(w)})
		t.leaseEnd = max(t.leaseEnd, m.now+m.config.stretched(m.config.Lease))
	}
	return renewals
}

// lapsed reports whether the lease of a live attempt has certainly ended on
// the worker's clock.
func (m *Machine) lapsed(t *task) bool {
	if t.leaseEnd != 0 {
		if m.config.Unsafe.NoLeaseDrift {
			return m.now >= t.leaseEnd-(m.config.stretched(m.config.Lease)-m.config.Lease)
		}
		return m.now >= t.leaseEnd
	}
	if t.placedTerm == m.ownTerm {
		return false
	}
	return m.now >= m.inheritedEnd()
}

// inheritedEnd returns the local time at which the leases have ended that
// former owners renewed on a worker that has not answered in this term. A
// former owner renews until it is gone or the offline limit has passed.
func (m *Machine) inheritedEnd() time.Duration {
	lease := m.config.stretched(m.config.Lease)
	if m.predecessors == 0 || m.config.Unsafe.NoPredecessorWait {
		return m.goneAt + lease
	}
	return m.ownedAt + m.config.stretched(m.config.OfflineLimit) + lease
}

// endLapsed records the end of an attempt whose lease has ended.
func (m *Machine) endLapsed(t *task) {
	m.finish(t, &recordpb.Ended{
		Outcome: recordpb.Outcome_OUTCOME_LAPSED,
		Message: "lease ended without an answer of the worker",
	})
}
