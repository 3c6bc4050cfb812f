package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// predecessorLeaseExpiry returns the time after which every lease that a previous
// owner granted has expired, if nothing is heard from it: it grants full leases for
// leaseAuthority after the last join that assigned the cell to it, which is older than the
// successor's epoch, and none that ends later. A command that is still on its way carries
// no later end.
func (c *cell) predecessorLeaseExpiry() time.Duration {
	return dispatch.LeaseExpiryBound(leaseAuthority + c.node.config.Dispatch.Lease)
}

// grantedLeaseExpiry returns the time after which every lease that was granted
// until now, or is granted at the end of an ownership, has expired.
func (c *cell) grantedLeaseExpiry() time.Duration {
	config := c.node.config.Dispatch
	return dispatch.LeaseExpiryBound(max(config.Lease, config.HandoverLease)) + dispatch.CommandTimeout
}

// endedProcessLeaseExpiry returns the same for a process that has ended: it granted no lease
// that lasts longer than the usual one.
func (c *cell) endedProcessLeaseExpiry() time.Duration {
	return dispatch.LeaseExpiryBound(c.node.config.Dispatch.Lease) + dispatch.CommandTimeout
}

// requestResignation requests the previous owner to end its ownership, unless this node
// knows that it has ended and which leases remained. An answer of a new process at its address
// counts too: the previous process has then ended. A refused connection doesn't show that: a cut
// between two VMs may refuse connections as well, while the owner goes on.
func (o *ownership) requestResignation(ctx context.Context, previous ledger.Owner) {
	if answer := o.knownEndOf(previous.Epoch); answer != nil {
		o.postResigned(ctx, previous, answer)
		return
	}
	if previous.VM == o.node.config.VM && previous.PeerAddress == o.node.config.PeerAddress {
		o.postEnd(ctx, previous, o.resignAnswer(previous.Epoch))
		return
	}
	if previous.PeerAddress == "" {
		return
	}
	for attempt := 1; ctx.Err() == nil && o.node.monotonicNow()-o.openedAt < authorityDuration; attempt++ {
		call, cancel := context.WithTimeout(ctx, resignTimeout)
		answer, err := o.node.peers.client(previous.PeerAddress).Resign(call, &coordpb.ResignRequest{Cell: int32(o.number), Epoch: previous.Epoch})
		cancel()
		if err == nil && answer.Resigned {
			o.node.logger.Log(logevent.FormerOwnerResigned, zap.String("vm", previous.VM), zap.Int64("epoch", previous.Epoch))
			o.postEnd(ctx, previous, answer)
			return
		}
		sleep(ctx, retryDelay(attempt))
	}
}

// askToResign requests the owner of a cell to end its ownership before this node opens the next
// epoch, and reports whether it has.
func (c *cell) askToResign(ctx context.Context, owner ledger.Owner) bool {
	if owner.PeerAddress == "" || owner.PeerAddress == c.node.config.PeerAddress {
		return false
	}
	call, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	answer, err := c.node.peers.client(owner.PeerAddress).Resign(call, &coordpb.ResignRequest{Cell: int32(c.number), Epoch: owner.Epoch})
	if err != nil || !answer.Resigned {
		return false
	}
	c.learnEnd(owner.Epoch, answer)
	return true
}

// postEnd passes on what is known of the end of the previous ownership. If the answer
// doesn't say which leases remained, another node may.
func (o *ownership) postEnd(ctx context.Context, previous ledger.Owner, answer *coordpb.ResignAnswer) {
	o.postResigned(ctx, previous, answer)
	if answer.LeasesKnown {
		return
	}
	if known := o.awaitKnownEnd(ctx, previous.Epoch); known != nil {
		o.postResigned(ctx, previous, known)
	}
}

// Resign handles a request of another node to end this node's ownership of a cell
// in all epochs up to the given one. It answers when the ownership has ended or
// ctx is done.
func (n *Node) Resign(ctx context.Context, q *coordpb.ResignRequest) (*coordpb.ResignAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil {
		return &coordpb.ResignAnswer{}, nil
	}
	raise(&c.resignedEpoch, q.Epoch)
	signal(c.wake)
	for c.actsIn(q.Epoch) {
		if !sleep(ctx, 5*time.Millisecond) {
			return &coordpb.ResignAnswer{}, nil
		}
	}
	return c.resignAnswer(q.Epoch), nil
}

// actsIn reports whether this node owns the cell in an epoch up to the given one, or is opening one: the
// log may have the record of an ownership that has not begun.
func (c *cell) actsIn(epoch int64) bool {
	if opening := c.openingEpoch.Load(); opening != 0 && opening <= epoch {
		return true
	}
	return c.owning.Load() && c.newestEpoch.Load() <= epoch
}

// raise sets a value to at least the given one.
func raise(value *atomic.Int64, least int64) {
	for {
		current := value.Load()
		if current >= least || value.CompareAndSwap(current, least) {
			return
		}
	}
}

// postResigned passes on what the previous owner, or the process that is now at its
// address, says of the leases that workers may hold, after the ends of runs: a task that is
// done must not be started again because the leases of its worker have expired.
func (o *ownership) postResigned(ctx context.Context, previous ledger.Owner, answer *coordpb.ResignAnswer) {
	o.learnEnds(answer.Ends)
	if answer.LeasesKnown {
		o.post(ctx, dispatch.PredecessorResigned{Sole: previous.Sole, SoleAfter: o.handOverTime(), Leases: o.leasesOf(answer)})
		return
	}
	expiry, soleAfter := o.grantedLeaseExpiry(), o.handOverTime()
	if answer.Restarted {
		soleAfter = 0
		expiry = max(0, o.endedProcessLeaseExpiry()-time.Duration(answer.ProcessAgeMs)*time.Millisecond)
	}
	o.post(ctx, dispatch.PredecessorResigned{Sole: previous.Sole, SoleAfter: soleAfter, Expiry: o.withEarlierOwners(previous, expiry)})
}

// keepLeases keeps the leases, and the ends of runs that may not be in the log, at the end
// of the ownership for its successors.
func (o *ownership) keepLeases(reason string) {
	g := &grantedLeases{epoch: o.epoch, previous: o.previous.Owner, endedAt: o.node.monotonicNow(), known: reason != panicked}
	if g.known {
		g.expiry = o.machine.Leases(g.endedAt)
		o.knownEnds.add(g.endedAt, o.machine.UnrecordedEnds()...)
	}
	o.lastLeases.Store(g)
}
