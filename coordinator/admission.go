package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/metrics"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// admissionStoreSilence is the time without a response of the store after which nothing is
	// rejected: starts may wait for the store then, not for room.
	admissionStoreSilence = time.Second
	// verifyTimeout limits the query whether the owner has a submission that would be rejected.
	verifyTimeout = 250 * time.Millisecond
	// attemptRetention is how long attempts are remembered, and maxAttempts how many.
	attemptRetention = time.Minute
	maxAttempts      = 8192
)

// RejectedError is an ErrRejected with the time after which the caller may try again.
type RejectedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v; retry after %v", ErrRejected, e.RetryAfter)
}

// Unwrap returns ErrRejected.
func (e *RejectedError) Unwrap() error { return ErrRejected }

// attempts are the attempts of callers that a node remembers, by id.
type attempts struct {
	mu  sync.Mutex
	all map[string]attempt
}

type attempt struct {
	// sent: an append of the submission was begun, so that it may be stored.
	sent bool
	// rejections is how often the submission was rejected.
	rejections int
	at         time.Duration
}

func (a *attempts) get(id string) attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[id]
}

// sent records that an append of a submission begins.
func (a *attempts) sent(id string, now time.Duration) {
	a.change(id, now, func(one *attempt) { one.sent = true })
}

// rejected records a rejection.
func (a *attempts) rejected(id string, now time.Duration) {
	a.change(id, now, func(one *attempt) { one.rejections++ })
}

func (a *attempts) change(id string, now time.Duration, change func(*attempt)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all == nil {
		a.all = make(map[string]attempt)
	}
	one, known := a.all[id]
	if !known && len(a.all) >= maxAttempts {
		return
	}
	one.at = now
	change(&one)
	a.all[id] = one
}

// full reports whether a new attempt would not be remembered.
func (a *attempts) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.all) >= maxAttempts
}

func (a *attempts) sweep(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, one := range a.all {
		if now-one.at > attemptRetention {
			delete(a.all, id)
		}
	}
}

// admit returns a *RejectedError if a submission is to be rejected before it is appended. One that may
// be stored is not: an append of this node may have stored it, or the owner knows it. An append that
// another node sent and that takes effect later can't be known; its caller was told that the outcome is
// unknown, and a rejection tells of its own attempt only.
func (c *cell) admit(ctx context.Context, s *workload.Submission) error {
	n := c.node
	began := n.monotonicNow()
	outlook, age := c.currentOutlook()
	if !n.config.RejectsUnstartable || outlook.Empty() || n.storeSilence() > admissionStoreSilence {
		return nil
	}
	earlier := c.attempts.get(s.ID)
	if earlier.sent || earlier.rejections == 0 && c.attempts.full() {
		return nil
	}
	attempt := admission.Attempt{Submission: s, Earlier: earlier.rejections, Draw: rand.Float64(), Trickle: rand.Float64(), Spread: rand.Float64()}
	verdict := admission.Decide(outlook, age, attempt)
	if !verdict.Admitted() {
		// The owner's answer brings its newest outlook.
		known := !c.isUnknownToOwner(ctx, s.ID)
		outlook, age = c.currentOutlook()
		if verdict = admission.Decide(outlook, age, attempt); known {
			verdict.Reason = admission.NotVerified
		}
	}
	if verdict.Reason != admission.Open && verdict.Reason != admission.NotSubject {
		n.metrics.count("admissions", "queue", s.Queue, "size", verdict.Size.String(), "verdict", verdict.Reason.String())
	}
	if verdict.Admitted() {
		return nil
	}
	c.attempts.rejected(s.ID, began)
	n.logger.Log(logevent.SubmissionTurnedAway, zap.String("id", s.ID), zap.String("queue", s.Queue), zap.String("size", verdict.Size.String()),
		zap.Duration("duration", n.monotonicNow()-began), zap.Duration("age", age), zap.Float64("share", verdict.Chance),
		zap.Int("waiting", verdict.Expected.Waiting), zap.Int("started", verdict.Expected.Started), zap.Int("late", verdict.Expected.Late),
		zap.Int("fit", verdict.Fit), zap.Int("rejections", earlier.rejections), zap.Duration("retryAfter", verdict.RetryAfter))
	return &RejectedError{RetryAfter: verdict.RetryAfter}
}

// currentOutlook returns the outlook of the cell's owner with its age. It is nil if the owner is not
// known, is another one than that which told the outlook, or may be losing the cell.
func (c *cell) currentOutlook() (*admission.Outlook, time.Duration) {
	now := c.node.monotonicNow()
	if c.owning.Load() {
		if !c.hasAuthority() {
			return nil, 0
		}
		return c.outlooks.current(true, c.newestEpoch.Load(), now)
	}
	return c.outlooks.current(false, c.node.owners.owner(c.number).Epoch, now)
}

// isUnknownToOwner reports whether the cell's owner, with its intake read to the end, does not have a
// submission. It returns false if the owner doesn't say so at once.
func (c *cell) isUnknownToOwner(ctx context.Context, id string) bool {
	call, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if c.owning.Load() {
		states, _ := c.ownerStates(call, []string{id})
		return states[0] == workload.Unknown && c.hasAuthority()
	}
	owner := c.node.owners.owner(c.number)
	if owner.PeerAddress == "" || owner.PeerAddress == c.node.config.PeerAddress {
		return false
	}
	q := &coordpb.StatesRequest{Cell: int32(c.number), Ids: []string{id}, OutlookVersion: c.requestedOutlook(owner.Epoch)}
	answer, err := c.node.peers.client(owner.PeerAddress).States(call, q)
	c.node.metrics.countLookup(err)
	if err == nil {
		c.learnOutlook(owner.Epoch, answer.Outlook)
	}
	return err == nil && answer.Owner && len(answer.States) == 1 && workload.State(answer.States[0]) == workload.Unknown
}

// rejectedSizes returns what the queues and sizes that this node rejects can expect, by name.
func (c *cell) rejectedSizes() map[string]admission.SizeOutlook {
	outlook, age := c.currentOutlook()
	if !c.node.config.RejectsUnstartable || outlook.Empty() || age > admission.MaxAge {
		return nil
	}
	out := make(map[string]admission.SizeOutlook)
	for name, q := range outlook.Queues {
		for size, expected := range q.Sizes {
			if expected.Rejecting {
				out[metrics.Name(name, "size", admission.Size(size).String())] = expected
			}
		}
	}
	return out
}
