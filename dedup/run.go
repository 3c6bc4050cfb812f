package dedup

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// Run is the first run of an id. The order of calls is: Missing, then
// Acknowledged or Missed for each peer, Start, and at last exactly one of
// Withdraw, Answer, NotKept and Unknown. If Start does not return result.OK,
// Withdraw must follow. A Run is used by one goroutine at a time.
type Run struct {
	table   *Table
	entry   *entry
	id      ID
	term    int64
	missing map[string]bool
}

// Intent returns the intent to send to the peers.
func (r *Run) Intent() Intent {
	return Intent{Cell: r.table.cell, Term: r.term, ID: r.entry.id, Fingerprint: r.entry.fingerprint}
}

// MissingAcknowledgements returns the peers that have not yet acknowledged, in order.
func (r *Run) MissingAcknowledgements() []string {
	list := make([]string, 0, len(r.missing))
	for vm := range r.missing {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// PeerAcknowledged records a peer's acknowledgement.
func (r *Run) PeerAcknowledged(vm string) {
	delete(r.missing, vm)
}

// PeerMissed records that a peer did not acknowledge. The peer is left out of the
// next renewal's synced set and needs a new copy.
func (r *Run) PeerMissed(vm string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.sync.missed(vm)
}

// CheckSend returns result.OK if the request may be sent now. It must be called
// after the acknowledgements and right before the first send.
func (r *Run) CheckSend(now time.Duration) result.Code {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.home.owner || t.home.term != r.term || now >= t.home.until {
		return unprovenCode(r.id)
	}
	for vm := range r.missing {
		if t.sync.needs(vm) {
			return result.NotRunRepeatProtection
		}
	}
	return result.OK
}

// Withdraw ends a run that certainly had no effect; the id may be used again.
func (r *Run) Withdraw() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	close(r.entry.done)
	r.table.remove(r.entry)
}

// FinishAnswered ends a run with its complete response. The answer is kept if its body
// is at most MaxAnswerBytes.
func (r *Run) FinishAnswered(now time.Duration, a *Answer) {
	r.finish(now, func() { r.table.setAnswer(r.entry, a) })
}

// FinishAnswerNotKept ends a run whose response was complete but too large to be kept.
func (r *Run) FinishAnswerNotKept(now time.Duration) {
	r.finish(now, func() { r.entry.state = AnswerNotKept })
}

// FinishOutcomeUnknown ends a run that was sent and whose outcome was not learned.
func (r *Run) FinishOutcomeUnknown(now time.Duration) {
	r.finish(now, func() { r.entry.state = OutcomeUnknown })
}

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
