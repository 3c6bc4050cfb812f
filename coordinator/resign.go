package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// predecessorLapse returns the time after which every lease that a former
// owner gave has lapsed. An earlier process of this VM has ended; any other
// former owner may extend leases until its authority ends.
func (c *cell) predecessorLeaseExpiry(former ledger.Owner) time.Duration {
	if former.VM == "" || former.VM == c.node.config.VM && former.PeerAddress == c.node.config.PeerAddress {
		return c.grantedLeaseExpiry()
	}
	return authorityDuration + c.grantedLeaseExpiry()
}

// resignedLapse returns the time after which every lease has lapsed that was
// given until now.
func (c *cell) grantedLeaseExpiry() time.Duration {
	return dispatch.LeaseExpiryBound(c.node.config.Dispatch.Lease) + commandTimeout
}

// askResignation asks the former owner to end its ownership. A new process at
// its address answers as well: the former one has ended then.
func (o *ownership) requestResignation(ctx context.Context, former ledger.Owner) {
	if former.PeerAddress == "" || former.PeerAddress == o.node.config.PeerAddress {
		return
	}
	for attempt := 1; ctx.Err() == nil && o.node.monotonicNow()-o.openedAt < authorityDuration; attempt++ {
		call, cancel := context.WithTimeout(ctx, resignTimeout)
		answer, err := o.node.peers.client(former.PeerAddress).Resign(call, &coordpb.ResignRequest{Cell: int32(o.number), Epoch: former.Epoch})
		cancel()
		if err == nil && answer.Resigned {
			o.node.logger.Log(logevent.FormerOwnerResigned, zap.String("vm", former.VM), zap.Int64("epoch", former.Epoch))
			o.post(ctx, dispatch.PredecessorResigned{Expiry: o.grantedLeaseExpiry()})
			return
		}
		sleep(ctx, retryDelay(attempt))
	}
}

// Resign ends this node's ownership of a cell up to an epoch.
func (n *Node) Resign(ctx context.Context, q *coordpb.ResignRequest) (*coordpb.ResignAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil {
		return &coordpb.ResignAnswer{}, nil
	}
	c.resignedEpoch.Store(max(c.resignedEpoch.Load(), q.Epoch))
	signal(c.wake)
	for c.owning.Load() && c.newestEpoch.Load() <= q.Epoch {
		if !sleep(ctx, 5*time.Millisecond) {
			return &coordpb.ResignAnswer{}, nil
		}
	}
	return &coordpb.ResignAnswer{Resigned: true}, nil
}
