package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// confirmedLeaseExpiry returns the time, from the last confirmation of an owner by a witness,
// after which all leases that it granted have expired.
func (c *cell) confirmedLeaseExpiry() time.Duration {
	return dispatch.LeaseExpiryBound(confirmedDuration + c.node.config.Dispatch.Lease)
}

// askPreviousWitnesses asks the witnesses of the previous owner when they last confirmed it,
// in case that owner can't be asked itself. Each time at which a majority had confirmed it is
// at most the latest that any majority names, and none of them confirms it again.
func (o *ownership) askPreviousWitnesses(ctx context.Context, previous ledger.Owner, named ledger.Witnesses) {
	if len(named.All) == 0 {
		return
	}
	var mu sync.Mutex
	answers, last := 0, time.Duration(0)
	holders := reportHolders{needed: named.Majority()}
	for _, one := range named.All {
		o.wg.Go(func() {
			at, confirmed, report, answered := o.lastConfirmed(ctx, previous.Epoch, one)
			if !answered {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if confirmed {
				last = max(last, at)
			}
			answers++
			if answers == named.Majority() && last > 0 {
				o.postConfirmed(ctx, previous, last)
			}
			if named.Reports && holders.add(one, report) {
				newest := holders.newest
				o.wg.Go(func() { o.postReport(ctx, previous, newest) })
			}
		})
	}
}

// reportHolders are the witnesses that hold a report of a previous owner.
type reportHolders struct {
	// needed is the number of witnesses that are a majority, answers that of those that hold
	// a report.
	needed, answers int
	// newest holds the report with the highest number.
	newest ledger.Witness
	number int64
}

// add adds a witness that holds a report with a number, or none if that is 0: its process has
// ended, or has forgotten the report. It returns true when a majority holds one. One of these
// then has the newest report by which the owner can have granted a lease, or a later one.
func (h *reportHolders) add(one ledger.Witness, number int64) bool {
	if number == 0 {
		return false
	}
	if number > h.number {
		h.newest, h.number = one, number
	}
	h.answers++
	return h.answers == h.needed
}

// postReport asks a witness for the report of the previous owner that it holds, and passes on
// when the leases of the workers in it have expired, those of earlier owners included.
func (o *ownership) postReport(ctx context.Context, previous ledger.Owner, holder ledger.Witness) {
	q := &coordpb.LastReportRequest{Cell: int32(o.number), Epoch: previous.Epoch, Process: holder.Process}
	for attempt := 1; ctx.Err() == nil && o.node.monotonicNow()-o.openedAt < authorityDuration; attempt++ {
		call, cancel := context.WithTimeout(ctx, resignTimeout)
		answer, err := o.callReportHolder(call, holder, q)
		cancel()
		if err == nil {
			if answer.Number > 0 {
				o.post(ctx, dispatch.LeasesReported{Expiry: leasesIn(answer.Leases)})
			}
			return
		}
		sleep(ctx, retryDelay(attempt))
	}
}

func (o *ownership) callReportHolder(ctx context.Context, one ledger.Witness, q *coordpb.LastReportRequest) (*coordpb.LastReportAnswer, error) {
	if one.PeerAddress == o.node.config.PeerAddress {
		return o.node.LastReport(ctx, q)
	}
	return o.node.peers.client(one.PeerAddress).LastReport(ctx, q)
}

func leasesIn(leases []*coordpb.WorkerLease) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration, len(leases))
	for _, l := range leases {
		out[workload.Incarnation{Worker: l.Worker, StartMillis: l.Born}] = time.Duration(l.ExpiryMs) * time.Millisecond
	}
	return out
}

// lastConfirmed returns when a witness last confirmed the owner of an epoch, on this node's
// monotonic clock, and the number of the report that it holds. answered is false if it can't be
// asked while that could shorten a wait.
func (o *ownership) lastConfirmed(ctx context.Context, epoch int64, one ledger.Witness) (at time.Duration, confirmed bool, report int64, answered bool) {
	q := &coordpb.LastConfirmedRequest{Cell: int32(o.number), Epoch: epoch, Process: one.Process}
	for attempt := 1; ctx.Err() == nil && o.node.monotonicNow()-o.openedAt < authorityDuration; attempt++ {
		call, cancel := context.WithTimeout(ctx, resignTimeout)
		answer, err := o.callWitness(call, one, q)
		cancel()
		if err == nil {
			age := time.Duration(answer.AgeMs) * time.Millisecond
			return max(1, o.node.monotonicNow()-age), !answer.Never, answer.Report, true
		}
		sleep(ctx, retryDelay(attempt))
	}
	return 0, false, 0, false
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
