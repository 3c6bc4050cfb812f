package dedup

import (
	"math"
	"time"
)

// driftMargin multiplies durations that are sent to another VM, because two
// clocks can drift apart by 1% (design 3.1).
const driftMargin = 1.01

// ExportCopy returns a full copy for a peer in one or more parts of about
// partBytes. From now on the peer must acknowledge intents. It returns nil if
// this VM is not the home.
func (t *Table) ExportCopy(now time.Duration, vm string, partBytes int) []Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.home.owner {
		return nil
	}
	t.sync.lastCopy++
	t.sync.beginCopy(vm, t.sync.lastCopy)
	parts := []Copy{t.copyPart(now)}
	size := 0
	for _, e := range t.entries {
		c := t.copyEntry(now, e)
		if size > 0 && size+c.size() > partBytes {
			parts = append(parts, t.copyPart(now))
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, c)
		size += c.size()
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

func (t *Table) copyPart(now time.Duration) Copy {
	return Copy{
		Cell:       t.cell,
		Term:       t.home.term,
		Serial:     t.sync.lastCopy,
		Unproven:   withDriftMargin(max(0, t.unprovenUntil-now)),
		ProvenFrom: t.provenFrom,
	}
}

func (t *Table) copyEntry(now time.Duration, e *entry) CopyEntry {
	remaining := e.expires - now
	if e.done != nil {
		remaining = t.memory.limits.MaxRequest + t.memory.limits.Retention
	}
	return CopyEntry{
		ID:          e.id,
		Fingerprint: e.fingerprint,
		State:       e.state,
		Answer:      e.answer,
		Remaining:   withDriftMargin(remaining),
	}
}

// withDriftMargin returns a duration that covers d on a clock that runs faster.
func withDriftMargin(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * driftMargin))
}

// ConfirmCopy records that a peer has imported all parts of the copy with this
// serial. The next renewal then includes the peer in the synced set.
func (t *Table) ConfirmCopy(vm string, serial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync.copyImported(vm, serial)
}

// CopyFailed records that a copy could not be transferred to a peer.
func (t *Table) CopyFailed(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync.markUnsynced(vm)
}

// OfferRenewal returns the synced set for the next lease renewal, and a serial
// to pass to RenewalRecorded. It must be called for every renewal, right before
// it is appended to the log.
func (t *Table) OfferRenewal() (serial uint64, synced []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sync.offerRenewal()
}

// RenewalRecorded records that the renewal with this serial was read back from
// the log.
func (t *Table) RenewalRecorded(serial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync.renewalRecorded(serial)
}
