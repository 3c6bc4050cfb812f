package dedup

import (
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// TakeOver makes this VM the home of the table's ids under a new term. A term
// that is not the highest seen is ignored and false is returned.
func (t *Table) TakeOver(now time.Duration, k Takeover) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if k.Term < t.home.highest || k.Term <= t.home.term {
		return false
	}
	if !t.hasEveryID(k) {
		// The last request of the old home can have begun as late as the
		// takeover and have lasted the maximum request time.
		t.unproven = now + t.memory.limits.MaxRequest + t.memory.limits.Retention
		t.provenFrom = k.Term
	}
	t.home = homeState{owner: true, term: k.Term, until: k.Until, highest: k.Term}
	t.sync = newSyncSet()
	t.copied = copyState{}
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
	return k.Synced && t.copied.full && t.copied.term == k.Previous
}

// ExtendLease moves the end of the lease, or of the promises that stand in for it.
// It is ignored unless this VM is the home under this term.
func (t *Table) ExtendLease(term int64, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.home.owner && t.home.term == term {
		t.home.until = max(t.home.until, until)
	}
}

// ObserveTerm records a term of the cell that was read or reported. A higher term
// than its own ends this VM's role as home.
func (t *Table) ObserveTerm(term int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(term)
}

func (t *Table) observe(term int64) {
	t.home.highest = max(t.home.highest, term)
	if t.home.owner && t.home.highest > t.home.term {
		t.home.owner = false
	}
}

// ReleaseHome ends this VM's role as home under a term.
func (t *Table) ReleaseHome(term int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.home.term == term {
		t.home.owner = false
	}
}

// Home returns the term under which this VM is the home, and whether it is.
func (t *Table) Home() (term int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.term, t.home.owner
}

// Begin decides on a request. The fingerprint is a hash of what the request
// asks for; a repeat with another fingerprint is rejected with
// result.NotRunBadRequest, so that no caller gets another request's answer.
func (t *Table) Begin(now time.Duration, id ID, fingerprint uint64) BeginResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e := t.entries[id.Text]; e != nil {
		return e.repeat(fingerprint)
	}
	if code := t.newAllowed(now, id); code != result.OK {
		return BeginResult{Code: code}
	}
	e := t.add(id.Text, fingerprint)
	if e == nil {
		return BeginResult{Code: result.NotRunRepeatProtection}
	}
	e.done = make(chan struct{})
	run := &Run{table: t, entry: e, id: id, term: t.home.term, missing: map[string]bool{}}
	for _, vm := range t.sync.required() {
		run.missing[vm] = true
	}
	return BeginResult{Run: run}
}

// repeat answers a request whose id the table has.
func (e *entry) repeat(fingerprint uint64) BeginResult {
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

// newAllowed decides on an id that the table does not have.
func (t *Table) newAllowed(now time.Duration, id ID) result.Code {
	if !t.home.owner {
		return result.NotOwner
	}
	if now >= t.home.until {
		return unprovenCode(id)
	}
	if id.Fresh {
		return result.OK
	}
	// An id of a later term than this home's may have run at that term's home.
	if id.Term > t.home.term {
		return result.OutcomeUnknown
	}
	if now < t.unproven && (id.Term == 0 || id.Term < t.provenFrom) {
		return result.OutcomeUnknown
	}
	return result.OK
}

// unprovenCode is the code for an id that may have run elsewhere. Only a fresh
// id can't have.
func unprovenCode(id ID) result.Code {
	if id.Fresh {
		return result.NotRunRepeatProtection
	}
	return result.OutcomeUnknown
}
