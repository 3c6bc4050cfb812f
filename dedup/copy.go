package dedup

import "time"

// Copy is one part of the full copy of a cell's table. The copy is complete
// when all parts of one serial have been imported.
type Copy struct {
	Cell Cell
	// Term is the exporting home's term.
	Term int64
	// Serial tells exports of one term apart.
	Serial uint64
	// Part counts from 0 to Parts-1.
	Part, Parts int
	// Unproven is how long the home itself can't yet prove ids to be new, and
	// ProvenFrom the term from which issued ids are exempt.
	Unproven   time.Duration
	ProvenFrom int64
	Entries    []CopyEntry
}

// CopyEntry is one id of a copy.
type CopyEntry struct {
	ID          string
	Fingerprint uint64
	State       State
	// Answer is set if State is Answered.
	Answer *Answer
	// Remaining is how long the id is still to be kept.
	Remaining time.Duration
}

// size estimates the bytes of the entry in a message.
func (e *CopyEntry) size() int {
	const fixed = 32
	if e.Answer == nil {
		return fixed + len(e.ID)
	}
	return fixed + len(e.ID) + int(e.Answer.size())
}
