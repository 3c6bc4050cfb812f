package dedup

import "time"

// Copy is one part of a full copy of a cell's table. The full copy is complete
// when all parts with the same serial have been imported.
type Copy struct {
	Cell Cell
	// Term is the exporting home's term.
	Term int64
	// Serial distinguishes the exports of one term.
	Serial uint64
	// Part is the index of this part, from 0 to Parts-1.
	Part, Parts int
	// Unproven is the remaining time in which the home itself can't prove
	// unknown ids to be new. ProvenFrom is the term from which issued ids are
	// exempt.
	Unproven   time.Duration
	ProvenFrom int64
	Entries    []CopyEntry
}

// CopyEntry is one id in a copy.
type CopyEntry struct {
	ID          string
	Fingerprint uint64
	State       State
	// Answer is set if State is Answered.
	Answer *Answer
	// Remaining is the remaining retention time of the id.
	Remaining time.Duration
}

// size estimates the encoded size of the entry in bytes.
func (e *CopyEntry) size() int {
	const fixed = 32
	if e.Answer == nil {
		return fixed + len(e.ID)
	}
	return fixed + len(e.ID) + int(e.Answer.size())
}
