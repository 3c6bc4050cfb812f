package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/witness"
)

// confirmedLeaseExpiry returns the time, from the last confirmation of an owner by a witness,
// after which all leases that it granted have expired.
func (c *cell) confirmedLeaseExpiry() time.Duration {
	return dispatch.LeaseExpiryBound(witness.ConfirmedDuration + c.node.config.Dispatch.Lease)
}

// askPreviousWitnesses asks the witnesses of the previous owner when they last confirmed it,
// in case that owner can't be asked itself.
func (o *ownership) askPreviousWitnesses(ctx context.Context, previous predecessor) {
	named := previous.witnesses
	if len(named.All) == 0 {
		return
	}
	inquiry := witness.NewInquiry(named)
	for _, one := range named.All {
		o.wg.Go(func() {
			answer, answered := o.lastConfirmed(ctx, previous.Epoch, one)
			if !answered {
				return
			}
			if last, complete := inquiry.Answered(answer, o.node.monotonicNow()); complete {
				o.postConfirmed(ctx, previous.Owner, last)
			}
			if holder, complete := inquiry.Held(one, answer.Report); complete {
				o.postReport(ctx, previous.Owner, holder)
			}
		})
	}
}

// lastConfirmed asks a witness when it last confirmed the owner of an epoch, and which report of
// its leases it holds. answered is false
// if it can't be asked while that could shorten a wait.
func (o *ownership) lastConfirmed(ctx context.Context, epoch int64, one ledger.Witness) (a witness.LastAnswer, answered bool) {
	q := &coordpb.LastConfirmedRequest{Cell: int32(o.number), Epoch: epoch, Process: one.Process}
	for attempt := 1; ctx.Err() == nil && o.node.monotonicNow()-o.openedAt < authorityDuration; attempt++ {
		call, cancel := context.WithTimeout(ctx, resignTimeout)
		answer, err := o.callWitness(call, one, q)
		cancel()
		if err == nil {
			return witness.LastAnswer{Never: answer.Never, Age: time.Duration(answer.AgeMs) * time.Millisecond, Report: answer.Report}, true
		}
		sleep(ctx, retryDelay(attempt))
	}
	return witness.LastAnswer{}, false
}

func (o *ownership) callWitness(ctx context.Context, one ledger.Witness, q *coordpb.LastConfirmedRequest) (*coordpb.LastConfirmedAnswer, error) {
	if one.PeerAddress == o.node.config.PeerAddress {
		return o.node.LastConfirmed(ctx, q)
	}
	return o.node.peers.client(one.PeerAddress).LastConfirmed(ctx, q)
}

// postConfirmed passes on which leases the previous owner can have granted if a majority of
// its witnesses last confirmed it at a time.
func (o *ownership) postConfirmed(ctx context.Context, previous ledger.Owner, last time.Duration) {
	now := o.node.monotonicNow()
	expiry := max(0, o.confirmedLeaseExpiry()-(now-last))
	o.node.logger.Log(logevent.OwnerConfirmed, zap.Int("cell", o.number), zap.String("vm", previous.VM),
		zap.Int64("epoch", previous.Epoch), zap.Duration("age", now-last))
	// The previous owner may still send commands, with leases that end no later.
	o.post(ctx, dispatch.PredecessorResigned{Sole: previous.Sole, Expiry: o.withEarlierOwners(previous, expiry)})
}

// withEarlierOwners returns the time after which the leases of the previous owner, which
// expire after a time, and those of owners before it have expired.
func (o *ownership) withEarlierOwners(previous ledger.Owner, expiry time.Duration) time.Duration {
	if previous.Sole {
		return expiry
	}
	return max(expiry, o.predecessorLeaseExpiry()-o.node.owners.epochAge(o.number, previous.Epoch))
}
