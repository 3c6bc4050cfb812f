package coordinator

import (
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// grantedLeases are the leases that workers may hold when an ownership of a cell ends.
type grantedLeases struct {
	epoch int64
	// previous is the owner of the epoch before it.
	previous ledger.Owner
	// endedAt is when the ownership ended, on the node's monotonic clock.
	endedAt time.Duration
	// known: expiry has all leases. After a panic nothing is known.
	known bool
	// expiry is the lease expiry of each worker, from endedAt.
	expiry map[workload.Incarnation]dispatch.LeaseExpiry
}

// left returns the time from now after which all leases of a worker have expired.
func (g *grantedLeases) left(worker workload.Incarnation, now time.Duration) time.Duration {
	return max(0, g.endedAt+g.expiry[worker].All-now)
}

// resignAnswer returns the answer to a request to end the ownerships up to an epoch, all of
// which have ended.
func (c *cell) resignAnswer(epoch int64) *coordpb.ResignAnswer {
	answer := &coordpb.ResignAnswer{Resigned: true}
	now := c.node.monotonicNow()
	told := c.knownEndOf(epoch)
	last := c.lastLeases.Load()
	switch {
	case last != nil && last.epoch == epoch && last.known:
		answer.LeasesKnown, answer.PreviousEpoch = true, last.previous.Epoch
		answer.PreviousAddress, answer.PreviousSole = last.previous.PeerAddress, last.previous.Sole
		for worker, expiry := range last.expiry {
			answer.Leases = append(answer.Leases, &coordpb.WorkerLease{
				Worker: worker.Worker, Born: worker.StartMillis,
				ExpiryMs:    ceilMillis(last.left(worker, now)),
				OwnExpiryMs: ceilMillis(max(0, last.endedAt+expiry.Own-now)),
			})
		}
	case told != nil:
		answer = told
	case c.precedesProcess(epoch):
		answer.Restarted, answer.ProcessAgeMs = true, now.Milliseconds()
	}
	answer.Ends = c.knownEnds.messages(now)
	return answer
}

// precedesProcess reports whether an epoch of the cell is older than those that this
// process has tried to open.
func (c *cell) precedesProcess(epoch int64) bool {
	return c.firstEpoch.Load() == 0 || c.firstEpoch.Load() > epoch
}

// leasesOf returns the time after which all leases of each worker in an answer have
// expired. If this node owned the epoch before, it knows the leases of that epoch, and of
// those before it, itself. If a previous process at its address did, these have been
// granted before this process started.
func (c *cell) leasesOf(answer *coordpb.ResignAnswer) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration, len(answer.Leases))
	now := c.node.monotonicNow()
	own := c.lastLeases.Load()
	ownPrevious := own != nil && own.known && own.epoch == answer.PreviousEpoch
	ownAddress := answer.PreviousAddress != "" && answer.PreviousAddress == c.node.config.PeerAddress
	restarted := ownAddress && answer.PreviousSole && c.precedesProcess(answer.PreviousEpoch)
	for _, l := range answer.Leases {
		worker := workload.Incarnation{Worker: l.Worker, StartMillis: l.Born}
		out[worker] = time.Duration(l.ExpiryMs) * time.Millisecond
		granted := time.Duration(l.OwnExpiryMs) * time.Millisecond
		switch {
		case ownPrevious:
			out[worker] = min(out[worker], max(granted, own.left(worker, now)))
		case restarted:
			out[worker] = min(out[worker], max(granted, c.endedProcessLeaseExpiry()-now))
		}
	}
	return out
}

// ceilMillis rounds up to milliseconds: a lease must not be taken as expired too early.
func ceilMillis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
