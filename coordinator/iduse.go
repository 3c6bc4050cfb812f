package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// errUndecided means that a submission is in the log, and that no owner has said whether another
// one has its id.
var errUndecided = errors.New("stored, but the owner has not applied it")

// idUse says what is known of the id of a submission.
type idUse int

const (
	// undecided: the owner of the cell may know of another submission with the id, or of a repeat.
	undecided idUse = iota
	// usedByRepeat: the submission has the id.
	usedByRepeat
	// usedByOther: another submission has the id.
	usedByOther
)

// useOf returns what the local copy, or the owner's decision about a submission that this node
// accepted, says of an id.
func (c *cell) useOf(id string, identity ledger.Identity) idUse {
	if use := c.entryUse(id, identity); use != undecided {
		return use
	}
	if a, ok := c.recentlyAccepted.Load(id); ok && a.(acceptance).decided {
		return compareIdentities(a.(acceptance).identity, identity)
	}
	return undecided
}

// entryUse returns what the local copy alone says of an id.
func (c *cell) entryUse(id string, identity ledger.Identity) idUse {
	if e := c.ledger().Find(id); e != nil {
		return compareIdentities(e.Identity(), identity)
	}
	return undecided
}

// compareIdentities tells a repeat of a submission from another one with its id.
func compareIdentities(first, second ledger.Identity) idUse {
	caller := Caller{Tenant: second.Tenant, Queue: second.Queue}
	if caller.maySee(first.Tenant, first.Queue) && first.IsRepeat(second) {
		return usedByRepeat
	}
	return usedByOther
}

// accept records that a submission is accepted if its append succeeded, and returns the error for
// its caller. If this node accepted another one with the id and no owner has decided, the outcome
// is unknown. One that this node has accepted before is stored, whatever becomes of the append.
func (c *cell) accept(id string, identity ledger.Identity, appendErr error) error {
	accepted := acceptance{at: c.node.monotonicNow(), identity: identity, decided: appendErr == nil}
	former, known := c.recentlyAccepted.Load(id)
	isRepeat := known && compareIdentities(former.(acceptance).identity, identity) == usedByRepeat
	switch {
	case appendErr == nil:
		c.recentlyAccepted.Store(id, accepted)
	case errors.Is(appendErr, ErrIDInUse):
		if isRepeat {
			c.recentlyAccepted.Delete(id)
		}
	case isRepeat:
		// It is stored, by the append of the first call.
		return nil
	case errors.Is(appendErr, errUndecided):
		c.node.metrics.count("submissions_undecided")
		if known {
			return ErrOutcomeUnknown
		}
		c.recentlyAccepted.Store(id, accepted)
		return nil
	}
	return appendErr
}

// decide tells the cell's owner of a submission that is in the intake. It returns nil if the
// submission has its id, ErrIDInUse if another one has, and errUndecided if the owner doesn't say so
// within the limit.
func (c *cell) decide(n notification, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if c.owning.Load() {
		return c.applyAndCompare(ctx, n).err()
	}
	decision := make(chan idUse, 1)
	// The call goes on after the limit: the owner is to learn of the submission.
	go func() { decision <- c.askOwner(n) }()
	select {
	case use := <-decision:
		return use.err()
	case <-ctx.Done():
		return errUndecided
	}
}

// err returns what the caller of an append is told.
func (u idUse) err() error {
	switch u {
	case usedByRepeat:
		return nil
	case usedByOther:
		return ErrIDInUse
	}
	return errUndecided
}

// askOwner notifies another node, the cell's owner, of a submission, and returns its answer.
func (c *cell) askOwner(n notification) idUse {
	answer, err := c.sendNotification(n)
	switch {
	case err != nil || !answer.GetApplied():
		return undecided
	case answer.IdInUse:
		return usedByOther
	}
	return usedByRepeat
}

// applyAndCompare passes a notification to the owner's event loop. Of a submission it waits until
// it is applied in the order of the intake, and returns whether it has its id then. Every reader
// of the intake comes to the same result.
func (c *cell) applyAndCompare(ctx context.Context, n notification) idUse {
	if !ledger.HasSubmission(n.record) {
		c.queueNotification(n)
		return undecided
	}
	n.applied = make(chan struct{})
	c.queueNotification(n)
	r, err := c.node.reader.Decode(n.record)
	if err != nil {
		// The event loop meets the same error and reports it.
		return undecided
	}
	// Submissions are applied in order, so an entry is that of the first one also if this one is
	// not applied yet.
	identity := ledger.RecordIdentity(r.Submitted)
	if use := c.entryUse(r.Submitted.Id, identity); use != undecided {
		return use
	}
	select {
	case <-n.applied:
	case <-ctx.Done():
	}
	return c.entryUse(r.Submitted.Id, identity)
}
