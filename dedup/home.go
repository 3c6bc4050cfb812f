package dedup

import (
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// TakeOver makes this VM the home of the table's ids under a new term. It
// returns false and does nothing if the term is lower than the highest term
// seen or not higher than this VM's last own term.
func (t *Table) TakeOver(now time.Duration, k Takeover) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if k.Term < t.home.highestTerm || k.Term <= t.home.term {
		return false
	}
	if !t.hasEveryID(k) {
		// The last request of the previous home may have begun as late as the
		// takeover and may have lasted the maximum request time.
		t.unprovenUntil = now + t.memory.limits.MaxRequest + t.memory.limits.Retention
		t.provenFrom = k.Term
	}
	t.home = homeState{owner: true, term: k.Term, until: k.Until, highestTerm: k.Term}
	t.sync = newSyncSet()
	t.imported = importState{}
	return true
}

// hasEveryID reports whether the table holds every id that may have run.
func (t *Table) hasEveryID(k Takeover) bool {
	if k.Previous == 0 {
		return true
	}
	if t.home.owner && t.home.term == k.Previous {
		return true
	}
	return k.Synced && t.imported.full && t.imported.term == k.Previous
}

// ExtendLease extends the lease, or the promises that replace it, until a time.
// It does nothing unless this VM is the home under this term.
func (t *Table) ExtendLease(term int64, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.home.owner && t.home.term == term {
		t.home.until = max(t.home.until, until)
	}
}

// ObserveTerm records a term of the cell that was read from the log or reported
// by another VM. A term higher than this VM's own ends its role as home.
func (t *Table) ObserveTerm(term int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeTerm(term)
}

func (t *Table) observeTerm(term int64) {
	t.home.highestTerm = max(t.home.highestTerm, term)
	if t.home.owner && t.home.highestTerm > t.home.term {
		t.home.owner = false
	}
}

// ReleaseHome ends this VM's role as home under a term. It does nothing under
// another term.
func (t *Table) ReleaseHome(term int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.home.term == term {
		t.home.owner = false
	}
}

// Home returns the term under which this VM is or was last the home, and
// whether it is the home.
func (t *Table) Home() (term int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.term, t.home.owner
}

// Begin decides whether a request runs. The fingerprint is a hash of the
// request's content. A repeated id with another fingerprint is rejected with
// result.NotRunBadRequest, so that no caller gets another request's answer.
func (t *Table) Begin(now time.Duration, id ID, fingerprint uint64) BeginResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e := t.entries[id.Text]; e != nil {
		return e.beginRepeat(fingerprint)
	}
	if code := t.checkNewID(now, id); code != result.OK {
		return BeginResult{Code: code}
	}
	e := t.addEntry(id.Text, fingerprint)
	if e == nil {
		return BeginResult{Code: result.NotRunRepeatProtection}
	}
	e.done = make(chan struct{})
	run := &Run{table: t, entry: e, id: id, term: t.home.term, missingAcks: map[string]bool{}}
	for _, vm := range t.sync.required() {
		run.missingAcks[vm] = true
	}
	return BeginResult{Run: run}
}

// beginRepeat decides on a request whose id is in the table.
func (e *entry) beginRepeat(fingerprint uint64) BeginResult {
	switch {
	case e.fingerprint != fingerprint:
		return BeginResult{Code: result.NotRunBadRequest}
	case e.done != nil:
		return BeginResult{Wait: e.done}
	case e.state == Answered:
		return BeginResult{Answer: e.answer}
	case e.state == AnswerNotKept:
		return BeginResult{Code: result.AnswerNotKept}
	default:
		return BeginResult{Code: result.OutcomeUnknown}
	}
}

// checkNewID returns result.OK if a request with an id that is not in the table
// may run, otherwise the code to reject it with.
func (t *Table) checkNewID(now time.Duration, id ID) result.Code {
	if !t.home.owner {
		return result.NotOwner
	}
	if now >= t.home.until {
		return rejectionCode(id)
	}
	if id.Fresh {
		return result.OK
	}
	// An id that was issued under a later term may have run at the home of that
	// term.
	if id.Term > t.home.term {
		return result.OutcomeUnknown
	}
	if now < t.unprovenUntil && (id.Term == 0 || id.Term < t.provenFrom) {
		return result.OutcomeUnknown
	}
	return result.OK
}

// rejectionCode returns the code for a request that this VM does not run. The
// request may have run elsewhere unless its id is fresh.
func rejectionCode(id ID) result.Code {
	if id.Fresh {
		return result.NotRunRepeatProtection
	}
	return result.OutcomeUnknown
}
