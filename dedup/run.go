package dedup

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// Run is the first run of an id. The order of calls is:
// MissingAcknowledgements, then PeerAcknowledged or PeerMissed for each peer,
// CheckSend, and finally exactly one of Withdraw, FinishAnswered,
// FinishAnswerNotKept and FinishOutcomeUnknown. If CheckSend does not return
// result.OK, Withdraw must follow. A Run must not be used concurrently.
type Run struct {
	table       *Table
	entry       *entry
	id          ID
	term        int64
	missingAcks map[string]bool
}

// Intent returns the intent to send to the peers.
func (r *Run) Intent() Intent {
	return Intent{Cell: r.table.cell, Term: r.term, ID: r.entry.id, Fingerprint: r.entry.fingerprint}
}

// MissingAcknowledgements returns the peers that have not yet acknowledged the
// intent, in alphabetical order.
func (r *Run) MissingAcknowledgements() []string {
	list := make([]string, 0, len(r.missingAcks))
	for vm := range r.missingAcks {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// PeerAcknowledged records a peer's acknowledgement of the intent.
func (r *Run) PeerAcknowledged(vm string) {
	delete(r.missingAcks, vm)
}

// PeerMissed records that a peer did not acknowledge the intent. The peer is
// left out of the next renewal's synced set and needs a new copy.
func (r *Run) PeerMissed(vm string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.sync.markUnsynced(vm)
}

// CheckSend returns result.OK if the request may be sent now, otherwise the code
// to reject it with. It must be called after the acknowledgements and right
// before the first send.
func (r *Run) CheckSend(now time.Duration) result.Code {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.home.owner || t.home.term != r.term || now >= t.home.until {
		return rejectionCode(r.id)
	}
	for vm := range r.missingAcks {
		if t.sync.requires(vm) {
			return result.NotRunRepeatProtection
		}
	}
	return result.OK
}

// Withdraw ends a run that certainly had no effect. The id is removed and may
// be used again.
func (r *Run) Withdraw() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	close(r.entry.done)
	r.table.removeEntry(r.entry)
}

// FinishAnswered ends a run with its complete response. The answer is kept if
// its body has at most MaxAnswerBytes and the memory bound allows it.
func (r *Run) FinishAnswered(now time.Duration, a *Answer) {
	r.finish(now, func() { r.table.setAnswer(r.entry, a) })
}

// FinishAnswerNotKept ends a run whose response was complete but too large to be
// kept.
func (r *Run) FinishAnswerNotKept(now time.Duration) {
	r.finish(now, func() { r.entry.state = AnswerNotKept })
}

// FinishOutcomeUnknown ends a run that was sent and whose outcome is not known.
func (r *Run) FinishOutcomeUnknown(now time.Duration) {
	r.finish(now, func() { r.entry.state = OutcomeUnknown })
}

// finish ends the run with the state that set sets. The id expires after the
// retention time.
func (r *Run) finish(now time.Duration, set func()) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	set()
	close(r.entry.done)
	r.entry.done = nil
	t.keepUntil(r.entry, now+t.memory.limits.Retention)
}
