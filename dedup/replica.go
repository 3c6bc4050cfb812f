package dedup

import (
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// AcknowledgeIntent records an intent of the cell's home. A nil error is the
// acknowledgement. The error has code result.NotOwner if this VM has seen a
// higher term or is itself the home under the same or a higher term,
// result.OutcomeUnknown if the id ran here under an earlier term, and
// result.NotRunRepeatProtection if the memory bound is reached.
func (t *Table) AcknowledgeIntent(now time.Duration, in Intent) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if in.Term < t.home.highestTerm || (t.home.owner && in.Term <= t.home.term) {
		return result.Errorf(result.NotOwner, "term %d of cell %s/%d was replaced by term %d",
			in.Term, t.cell.DataCentre, t.cell.Number, t.home.highestTerm)
	}
	t.observeTerm(in.Term)
	e := t.entries[in.ID]
	if e == nil {
		e = t.addEntry(in.ID, in.Fingerprint)
	}
	if e == nil {
		return result.Errorf(result.NotRunRepeatProtection, "the request table is full")
	}
	if e.done != nil || e.state != MayHaveRun {
		return result.Errorf(result.OutcomeUnknown, "request id ran here under an earlier term")
	}
	// The home may have withdrawn an earlier intent for the id.
	e.fingerprint = in.Fingerprint
	t.keepUntil(e, now+t.memory.limits.MaxRequest+t.memory.limits.Retention)
	return nil
}

// ImportCopyPart merges one part of a full copy into the table. It returns
// whether the copy is now complete. The error has code result.NotOwner if this
// VM has seen a higher term or is itself the home under the same or a higher
// term, and result.NotRunRepeatProtection if the memory bound is reached.
func (t *Table) ImportCopyPart(now time.Duration, c Copy) (full bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if c.Term < t.home.highestTerm || (t.home.owner && c.Term <= t.home.term) {
		return false, result.Errorf(result.NotOwner, "copy of term %d is older than term %d", c.Term, t.home.highestTerm)
	}
	t.observeTerm(c.Term)
	t.beginImport(now, c)
	for i := range c.Entries {
		if !t.merge(now, &c.Entries[i]) {
			return false, result.Errorf(result.NotRunRepeatProtection, "the request table is full")
		}
	}
	t.imported.parts[c.Part] = true
	t.imported.full = len(t.imported.parts) == c.Parts
	return t.imported.full, nil
}

// beginImport starts a new import if the part belongs to another copy than the
// last one, and adopts the home's unproven period.
func (t *Table) beginImport(now time.Duration, c Copy) {
	if t.imported.term != c.Term || t.imported.serial != c.Serial || t.imported.parts == nil {
		t.imported = importState{term: c.Term, serial: c.Serial, parts: map[int]bool{}}
	}
	t.provenFrom = c.ProvenFrom
	t.unprovenUntil = 0
	if c.Unproven > 0 {
		t.unprovenUntil = now + c.Unproven
	}
}

// merge adds an entry of a copy to the table or updates the entry that the table
// has. It returns false if the memory bound is reached.
func (t *Table) merge(now time.Duration, c *CopyEntry) bool {
	e := t.entries[c.ID]
	if e == nil {
		e = t.addEntry(c.ID, c.Fingerprint)
	}
	if e == nil {
		return false
	}
	if e.done != nil {
		return true
	}
	if c.State > e.state {
		e.state = c.State
		if c.Answer != nil {
			t.setAnswer(e, c.Answer)
		}
	}
	t.keepUntil(e, now+c.Remaining)
	return true
}
