package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// ownershipEnd is what this node was told of the end of another node's ownership, so that
// the leases are known although the process that granted them has ended and the log was
// unavailable.
type ownershipEnd struct {
	epoch int64
	// receivedAt is when the node was told, on its monotonic clock.
	receivedAt time.Duration
	answer     *coordpb.ResignAnswer
}

// at returns the answer with the time that the leases still last now.
func (e *ownershipEnd) at(now time.Duration) *coordpb.ResignAnswer {
	out := &coordpb.ResignAnswer{
		Resigned: true, LeasesKnown: true, PreviousEpoch: e.answer.PreviousEpoch,
		PreviousAddress: e.answer.PreviousAddress, PreviousSole: e.answer.PreviousSole,
	}
	passed := (now - e.receivedAt).Milliseconds()
	for _, l := range e.answer.Leases {
		if l.ExpiryMs <= passed {
			continue
		}
		out.Leases = append(out.Leases, &coordpb.WorkerLease{
			Worker: l.Worker, Born: l.Born, ExpiryMs: l.ExpiryMs - passed, OwnExpiryMs: max(0, l.OwnExpiryMs-passed),
		})
	}
	return out
}

// learnEnd stores what the node was told of the end of an ownership, if it is newer than
// what it knows. The first word on an epoch is kept: a later one has passed through other
// nodes.
func (c *cell) learnEnd(epoch int64, answer *coordpb.ResignAnswer) {
	c.learnEnds(answer.GetEnds())
	if answer == nil || !answer.LeasesKnown {
		return
	}
	told := &ownershipEnd{epoch: epoch, receivedAt: c.node.monotonicNow(), answer: answer}
	for {
		known := c.knownEnd.Load()
		if known != nil && known.epoch >= epoch {
			return
		}
		if c.knownEnd.CompareAndSwap(known, told) {
			c.node.logger.Log(logevent.OwnershipEndLearned, zap.Int("cell", c.number), zap.Int64("epoch", epoch), zap.Int("leases", len(answer.Leases)))
			return
		}
	}
}

// knownEndOf returns what the node was told of the end of an epoch, or nil.
func (c *cell) knownEndOf(epoch int64) *coordpb.ResignAnswer {
	known := c.knownEnd.Load()
	if known == nil || known.epoch != epoch {
		return nil
	}
	return known.at(c.node.monotonicNow())
}

// newestEnd returns the newest epoch of whose end this node knows, as its owner or because
// it was told, and 0 if there is none.
func (c *cell) newestEnd() int64 {
	epoch := int64(0)
	if last := c.lastLeases.Load(); last != nil && last.known {
		epoch = last.epoch
	}
	if known := c.knownEnd.Load(); known != nil {
		epoch = max(epoch, known.epoch)
	}
	return epoch
}

// watchOwner keeps a call waiting at the cell's owner that is answered at the end of its
// ownership, and passes what this node knows of an end on to a process at the owner's
// address that does not know it.
func (c *cell) watchOwner(ctx context.Context) {
	passOn := false
	for ctx.Err() == nil {
		began := c.node.monotonicNow()
		owner := c.node.owners.owner(c.number)
		if !c.owning.Load() && owner.PeerAddress != "" && owner.PeerAddress != c.node.config.PeerAddress {
			passOn = c.awaitEnd(ctx, owner, passOn)
		}
		sleep(ctx, endWatchInterval-(c.node.monotonicNow()-began))
	}
}

// awaitEnd makes one call that waits for the end of an ownership. It tells what this node
// knows of an end if passOn is set, and returns whether the next call has to.
func (c *cell) awaitEnd(ctx context.Context, owner ledger.Owner, passOn bool) bool {
	q := &coordpb.AwaitEndRequest{Cell: int32(c.number), WaitMs: endWait.Milliseconds(), KnownEpoch: c.newestEnd(),
		Vm: c.node.config.VM, DataCentre: c.node.config.DataCentre, PeerAddress: c.node.config.PeerAddress, Process: c.node.process, Reads: c.node.reader.Format}
	if passOn {
		q.Ended = c.resignAnswer(q.KnownEpoch)
	}
	ends, version := c.knownEnds.untold(owner.Epoch, c.node.monotonicNow())
	q.Ends = ends
	call, cancel := context.WithTimeout(ctx, endWait+lookupTimeout)
	defer cancel()
	c.node.wg.Go(func() { c.cancelIfReplaced(call, cancel, owner) })
	answer, err := c.node.peers.client(owner.PeerAddress).AwaitEnd(call, q)
	if err != nil {
		return false
	}
	c.knownEnds.told(owner.Epoch, version)
	c.learnEnd(answer.Epoch, answer.Ended)
	return answer.Epoch < c.newestEnd()
}

// cancelIfReplaced cancels a call to an owner when a newer one is known: the VM of the owner may
// have been lost, and its successor must learn of this node.
func (c *cell) cancelIfReplaced(call context.Context, cancel func(), owner ledger.Owner) {
	for sleep(call, endWatchInterval) {
		if c.node.owners.owner(c.number).Epoch > owner.Epoch {
			cancel()
		}
	}
}

// AwaitEnd handles a call of another node that waits for the end of this node's ownership
// of a cell.
func (n *Node) AwaitEnd(ctx context.Context, q *coordpb.AwaitEndRequest) (*coordpb.AwaitEndAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil {
		return &coordpb.AwaitEndAnswer{}, nil
	}
	c.noteCaller(q)
	c.members.note(q, n.monotonicNow())
	c.learnEnds(q.Ends)
	c.learnEnd(q.KnownEpoch, q.Ended)
	if c.newestEnd() >= q.KnownEpoch {
		c.waitForEnd(ctx, min(endWait, time.Duration(q.WaitMs)*time.Millisecond))
	}
	answer := &coordpb.AwaitEndAnswer{Epoch: c.newestEnd()}
	if answer.Epoch > q.KnownEpoch {
		answer.Ended = c.resignAnswer(answer.Epoch)
	}
	return answer, nil
}

// waitForEnd waits until this node does not own the cell, for a limited time.
func (c *cell) waitForEnd(ctx context.Context, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for c.owning.Load() {
		select {
		case <-*c.ended.Load():
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitKnownEnd waits until another node passes on what the previous owner said at the end
// of its ownership. It returns nil if none does while that could shorten a wait.
func (o *ownership) awaitKnownEnd(ctx context.Context, epoch int64) *coordpb.ResignAnswer {
	for o.node.monotonicNow()-o.openedAt < authorityDuration {
		if answer := o.knownEndOf(epoch); answer != nil {
			return answer
		}
		if !sleep(ctx, endWatchInterval) {
			return nil
		}
	}
	return nil
}
