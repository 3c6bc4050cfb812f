package witness

import (
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// Inquiry collects when the witnesses of an owner last confirmed it, for its successor. Each
// time at which a majority had confirmed the owner is at most the latest that any majority
// names, and none of them confirms it again.
type Inquiry struct {
	set ledger.Witnesses

	mu      sync.Mutex
	answers int
	// last is the latest confirmation, 0 if no answer has named any.
	last time.Duration
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
