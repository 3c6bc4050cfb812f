package witness

import (
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// Inquiry collects when the witnesses of an owner last confirmed it, for its successor. Each
// time at which a majority had confirmed the owner is at most the latest that any majority
// names, and none of them confirms it again. If all of them keep the owner's reports, one of each
// majority holds the newest report by which the owner can have granted a lease, or a later one.
type Inquiry struct {
	set ledger.Witnesses

	mu      sync.Mutex
	answers int
	// last is the latest confirmation, 0 if no answer has named any.
	last time.Duration
	// holders is the number of witnesses that hold a report, newest holds the one with the
	// highest number.
	holders      int
	newest       ledger.Witness
	newestReport int64
}

// NewInquiry returns an inquiry of a set of witnesses.
func NewInquiry(set ledger.Witnesses) *Inquiry { return &Inquiry{set: set} }

// Answered records the answer of a witness that had not answered, to a call that was made
// after the successor's epoch was opened. It returns true with the answer that completes a
// majority, and the latest time at which the owner can have been confirmed.
func (q *Inquiry) Answered(a LastAnswer, now time.Duration) (last time.Duration, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !a.Never {
		q.last = max(q.last, 1, now-a.Age)
	}
	q.answers++
	return q.last, q.answers == q.set.Majority() && q.last > 0
}

// Held records that a witness holds a report with a number, or none if that is 0: its process has
// ended, or has forgotten the report. It returns true with the one that completes a majority of
// holders, and the witness whose report tells of all leases.
func (q *Inquiry) Held(one ledger.Witness, number int64) (newest ledger.Witness, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if number == 0 || !q.set.Reports {
		return ledger.Witness{}, false
	}
	if number > q.newestReport {
		q.newest, q.newestReport = one, number
	}
	q.holders++
	return q.newest, q.holders == q.set.Majority()
}
