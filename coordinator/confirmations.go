package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// maxConfirmedEpochs limits the epochs of a cell of which the last confirmation is kept.
const maxConfirmedEpochs = 16

// confirmations are the times at which this process confirmed that the owners of a cell are
// alive.
type confirmations struct {
	mu sync.Mutex
	// barred: no epoch up to this one is confirmed any more.
	barred int64
	// at is when an epoch was last confirmed, on the node's monotonic clock. forgotten has
	// the latest time of the epochs up to forgottenEpoch, which are not in it.
	at             map[int64]time.Duration
	forgottenEpoch int64
	forgotten      time.Duration
}

// confirm confirms the owner of an epoch, unless a successor has asked for it.
func (c *confirmations) confirm(epoch int64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch <= max(c.barred, c.forgottenEpoch) {
		return false
	}
	if c.at == nil {
		c.at = make(map[int64]time.Duration)
	}
	c.at[epoch] = now
	if len(c.at) > maxConfirmedEpochs {
		oldest := epoch
		for other := range c.at {
			oldest = min(oldest, other)
		}
		c.forgottenEpoch, c.forgotten = oldest, max(c.forgotten, c.at[oldest])
		delete(c.at, oldest)
	}
	return true
}

// last returns when an epoch, or one before it, was last confirmed, and bars them. It returns
// false if none was.
func (c *confirmations) last(epoch int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = max(c.barred, epoch)
	last, confirmed := c.forgotten, c.forgottenEpoch > 0
	for other, at := range c.at {
		if other <= epoch {
			last, confirmed = max(last, at), true
		}
	}
	return last, confirmed
}

// ConfirmOwner handles the call of an owner whose witness this process is.
func (n *Node) ConfirmOwner(_ context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || q.Process != n.process {
		return &coordpb.ConfirmOwnerAnswer{Leaving: true}, nil
	}
	return &coordpb.ConfirmOwnerAnswer{Confirmed: c.confirmations.confirm(q.Epoch, n.monotonicNow()), Leaving: n.stopping.Load()}, nil
}

// LastConfirmed handles the call of an owner whose predecessor's witness this process, or an
// earlier one on this VM, is.
func (n *Node) LastConfirmed(_ context.Context, q *coordpb.LastConfirmedRequest) (*coordpb.LastConfirmedAnswer, error) {
	c := n.cell(q.Cell)
	now := n.monotonicNow()
	if c == nil || q.Process != n.process {
		return &coordpb.LastConfirmedAnswer{AgeMs: now.Milliseconds()}, nil
	}
	last, confirmed := c.confirmations.last(q.Epoch)
	return &coordpb.LastConfirmedAnswer{Never: !confirmed, AgeMs: (now - last).Milliseconds()}, nil
}
