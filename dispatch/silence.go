package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// silenceRecordDelay is how long a worker with runs that has answered this owner must be
// silent before that is recorded. A single lost answer is not recorded, because the
// worker can be granted no lease again until another record is in the log.
const silenceRecordDelay = 2 * time.Second

// silenceUpdateStep is by how much a recorded expiry must be too late to be replaced.
const silenceUpdateStep = 500 * time.Millisecond

// silenceForgetInterval is the time between two searches for recorded silences that are not
// needed any longer.
const silenceForgetInterval = 10 * time.Second

// leaseBar says whether a worker may be granted leases.
type leaseBar int

const (
	// leasesAllowed: the log does not have the worker as silent.
	leasesAllowed leaseBar = iota
	// leasesBarred: the log has, or is about to have, the worker as silent.
	leasesBarred
	// barEnding: the record that ends the silence is being appended.
	barEnding
)

// recordSilences records the workers with runs that have been silent for a while. A
// successor then knows when their leases expire, however late it takes over: until the
// worker is recorded as heard again, it is granted none. A record is replaced when this
// owner knows of an earlier expiry than a successor that has just started would: it does
// not know how old the record is.
func (m *Machine) recordSilences() {
	if m.logStalled() {
		return
	}
	expiry := make(map[workload.Incarnation]time.Duration)
	for _, w := range m.sorted {
		if len(w.runs) == 0 || w.leasesExpired(m.now) {
			continue
		}
		left := w.leaseExpiry() - m.now
		switch {
		case w.bar == leasesAllowed && m.silentForLong(w):
		case w.bar == leasesBarred && w.recordedLeft-left >= silenceUpdateStep:
		default:
			continue
		}
		expiry[w.Incarnation] = left
		w.bar, w.recordedLeft = leasesBarred, left
	}
	if len(expiry) == 0 {
		return
	}
	m.appendSilent(expiry)
}

// recordExpiry records that the leases of a silent worker have expired, unless its record
// says about that already.
func (m *Machine) recordExpiry(w *worker) {
	if w.bar == barEnding || w.bar == leasesBarred && w.recordedLeft < silenceUpdateStep {
		return
	}
	w.bar, w.recordedLeft = leasesBarred, 0
	m.appendSilent(map[workload.Incarnation]time.Duration{w.Incarnation: 0})
}

// appendSilent records workers as silent. A worker that was removed and listed again
// while the record was being appended is barred from leases, too.
func (m *Machine) appendSilent(expiry map[workload.Incarnation]time.Duration) {
	record := ledger.SilentRecord(expiry)
	m.appendRecord(record, func() {
		m.ledger.Apply(record)
		for incarnation, left := range expiry {
			if w := m.workers[incarnation.Worker]; w != nil && w.Incarnation == incarnation && w.bar == leasesAllowed {
				w.bar, w.recordedLeft = leasesBarred, left
			}
		}
	})
}

// silentForLong reports whether a worker has answered nothing in this epoch, or nothing
// for silenceRecordDelay.
func (m *Machine) silentForLong(w *worker) bool {
	switch {
	case w.Address == "" || !m.listRead && !w.reported:
		return m.now-m.createdAt >= silenceRecordDelay
	case !w.reported:
		return w.silent
	}
	return w.silent && m.now-w.clockAt >= silenceRecordDelay
}

// endSilence records that a worker was heard again. Leases are granted to it once the
// record is in the log.
func (m *Machine) endSilence(w *worker) {
	if w.bar != leasesBarred {
		return
	}
	w.bar = barEnding
	incarnation := w.Incarnation
	record := ledger.HeardRecord(incarnation)
	m.appendRecord(record, func() {
		m.ledger.Apply(record)
		if w.Incarnation == incarnation {
			w.bar = leasesAllowed
			m.planNeeded = true
		}
	})
}

// inheritSilence bars a worker from leases if a previous owner recorded it as silent.
func (m *Machine) inheritSilence(w *worker) {
	w.bar = leasesAllowed
	silence, silent := m.ledger.Silence(w.Incarnation)
	if silent {
		w.bar, w.recordedLeft = leasesBarred, silence.Expiry
	}
}

// remaining returns the time until the leases of a silent worker have expired by a
// record. A record of this epoch counts as new.
func (m *Machine) remaining(s ledger.Silence) time.Duration {
	if s.NextEpoch == 0 || m.config.EpochAge == nil {
		return s.Expiry
	}
	return max(0, s.Expiry-m.config.EpochAge(s.NextEpoch))
}

// predecessorExpiry returns the time after which every lease that previous owners granted
// to a worker has expired.
func (m *Machine) predecessorExpiry(worker workload.Incarnation) time.Duration {
	expiry := m.config.PredecessorExpiry
	for _, silence := range m.ledger.Silences(worker) {
		expiry = min(expiry, m.remaining(silence))
	}
	return expiry
}

// predecessorResigned shortens the wait for the leases that previous owners granted.
func (m *Machine) predecessorResigned(ev PredecessorResigned) {
	for _, w := range m.workers {
		expiry := ev.Expiry
		if known, ok := ev.Leases[w.Incarnation]; ok {
			expiry = known
		}
		w.predecessorsExpireAt = min(w.predecessorsExpireAt, m.now+expiry)
	}
	if ev.Sole {
		m.soleFrom = min(m.soleFrom, m.now+ev.SoleAfter+soleMargin)
	}
}

// leasesReported shortens the wait for the leases of some workers that previous owners granted.
func (m *Machine) leasesReported(ev LeasesReported) {
	for incarnation, expiry := range ev.Expiry {
		if w := m.workers[incarnation.Worker]; w != nil && w.Incarnation == incarnation {
			w.predecessorsExpireAt = min(w.predecessorsExpireAt, m.now+expiry)
		}
	}
}

// soleMargin is how much longer than a previous owner's hand-over this owner waits until it
// records that no other can grant leases.
const soleMargin = time.Second

// recordSole records, when it is due, that no previous owner can grant leases any more. A
// successor then expects leases only as far as this owner could grant them, so it must be able
// to grant the usual ones: those of previous owners end before.
func (m *Machine) recordSole() {
	owner := m.ledger.Owner()
	if m.soleRecorded || m.now < m.soleFrom || owner.Epoch != m.config.Epoch || m.config.grantable() < m.config.Lease {
		return
	}
	m.soleRecorded = true
	owner.Sole = true
	record := ledger.OpenedRecord(owner)
	m.appendRecord(record, func() { m.ledger.Apply(record) })
}

// recordWitnesses records the witnesses of this owner.
func (m *Machine) recordWitnesses(w ledger.Witnesses) {
	w.Epoch = m.config.Epoch
	record := ledger.WitnessesRecord(w)
	m.appendRecord(record, func() {
		m.ledger.Apply(record)
		m.emit(WitnessesRecorded{Number: w.Number})
	})
}

// forgetSilences removes recorded silences of workers that are not known and on which the
// log has no open run. Until its task is placed again, an open run of a worker whose leases
// have expired needs the record: a successor would wait for them.
func (m *Machine) forgetSilences() {
	silent := m.ledger.SilentWorkers()
	if len(silent) == 0 || m.now-m.silencesForgottenAt < silenceForgetInterval || m.logStalled() {
		return
	}
	m.silencesForgottenAt = m.now
	needed := make(map[workload.Incarnation]bool)
	for _, e := range m.ledger.Live() {
		forEachTaskOf(e, func(t *ledger.Task) {
			if t.Open && !t.Done {
				needed[t.PlacedOn] = true
			}
		})
	}
	var unknown []workload.Incarnation
	for _, incarnation := range silent {
		if w := m.workers[incarnation.Worker]; !needed[incarnation] && (w == nil || w.Incarnation != incarnation) {
			unknown = append(unknown, incarnation)
		}
	}
	if len(unknown) == 0 {
		return
	}
	record := ledger.HeardRecord(unknown...)
	m.appendRecord(record, func() { m.ledger.Apply(record) })
}

// LeaseExpiry is the time after which the leases of a worker have expired.
type LeaseExpiry struct {
	// All counts all leases, Own those only that this owner granted.
	All, Own time.Duration
}

// Leases returns the lease expiry of each worker that may hold a lease.
func (m *Machine) Leases(now time.Duration) map[workload.Incarnation]LeaseExpiry {
	m.now = max(m.now, now)
	out := make(map[workload.Incarnation]LeaseExpiry)
	for _, w := range m.sorted {
		if w.leaseExpiry() > m.now && !w.gone {
			out[w.Incarnation] = LeaseExpiry{All: w.leaseExpiry() - m.now, Own: max(0, w.leasesExpireAt-m.now)}
		}
	}
	return out
}

// reportedLeaseLag is by how much the lease that a report allows a worker is longer than the
// usual one, counted from the worker's last answer: the next lease is granted when a heartbeat
// has been held and answered, by a report that doesn't have that answer yet.
const reportedLeaseLag = 700 * time.Millisecond

// ReportedLeases returns, for each worker that may hold leases, the time by which all of them
// have expired that were granted by now, or are granted within the usual lease and
// reportedLeaseLag of the worker's last answer to this owner.
func (m *Machine) ReportedLeases(now time.Duration) map[workload.Incarnation]time.Duration {
	m.now = max(m.now, now)
	out := make(map[workload.Incarnation]time.Duration)
	for _, w := range m.sorted {
		if len(w.runs) == 0 && w.leasesExpired(m.now) {
			continue
		}
		expiry := w.leaseExpiry()
		if w.reported && w.clock > 0 {
			expiry = max(expiry, w.clockAt+LeaseExpiryBound(m.config.Lease+reportedLeaseLag))
		}
		out[w.Incarnation] = expiry
	}
	return out
}
