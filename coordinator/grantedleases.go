package coordinator

import (
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/workload"
)

// grantedLeases are the leases that workers may hold when an ownership of a cell ends.
type grantedLeases struct {
	epoch int64
	// endedAt is when the ownership ended, on the node's monotonic clock.
	endedAt time.Duration
	// known: expiry has all leases. After a panic nothing is known.
	known bool
	// expiry is the time, from endedAt, after which all leases of a worker have expired.
	expiry map[workload.Incarnation]time.Duration
}

// remaining returns the time from now after which all leases of each worker have expired.
func (g *grantedLeases) remaining(now time.Duration) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration, len(g.expiry))
	for worker, expiry := range g.expiry {
		if left := g.endedAt + expiry - now; left > 0 {
			out[worker] = left
		}
	}
	return out
}

// resignAnswer returns the answer to a request to end the ownerships up to an epoch, all of
// which have ended.
func (c *cell) resignAnswer(epoch int64) *coordpb.ResignAnswer {
	answer := &coordpb.ResignAnswer{Resigned: true}
	now := c.node.monotonicNow()
	last := c.lastLeases.Load()
	switch {
	case last != nil && last.epoch == epoch && last.known:
		answer.LeasesKnown = true
		for worker, left := range last.remaining(now) {
			answer.Leases = append(answer.Leases, &coordpb.WorkerLease{Worker: worker.Worker, Born: worker.StartMillis, ExpiryMs: ceilMillis(left)})
		}
	case c.firstEpoch.Load() == 0 || c.firstEpoch.Load() > epoch:
		answer.Restarted, answer.ProcessAgeMs = true, now.Milliseconds()
	}
	return answer
}

// leasesOf returns the leases in an answer.
func leasesOf(answer *coordpb.ResignAnswer) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration, len(answer.Leases))
	for _, l := range answer.Leases {
		out[workload.Incarnation{Worker: l.Worker, StartMillis: l.Born}] = time.Duration(l.ExpiryMs) * time.Millisecond
	}
	return out
}

// ceilMillis rounds up to milliseconds: a lease must not be taken as expired too early.
func ceilMillis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
