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
	"github.com/cactusreel/cactusreel/workload"
)

// reportTimeout is how long a round of calls to the witnesses waits for a new report of the
// owner's leases. Without one the newest is sent again.
const reportTimeout = 50 * time.Millisecond

// reportMessage returns a report as it is sent.
func reportMessage(r *witness.Report) *coordpb.LeaseReport {
	m := &coordpb.LeaseReport{Number: r.Number, Numbering: r.Numbering, FirstWorker: int32(r.FirstWorker), Expiry: r.Expiry}
	for _, worker := range r.Workers {
		m.Workers = append(m.Workers, &coordpb.ReportedWorker{Worker: worker.Worker, Born: worker.StartMillis})
	}
	return m
}

// reportOf returns the report in a call, or nil if there is none.
func reportOf(m *coordpb.LeaseReport) *witness.Report {
	if m == nil {
		return nil
	}
	r := &witness.Report{Number: m.Number, Numbering: m.Numbering, FirstWorker: int(m.FirstWorker), Expiry: m.Expiry}
	for _, worker := range m.Workers {
		r.Workers = append(r.Workers, workload.Incarnation{Worker: worker.Worker, StartMillis: worker.Born})
	}
	return r
}

func leaseMessages(leases map[workload.Incarnation]time.Duration) []*coordpb.WorkerLease {
	out := make([]*coordpb.WorkerLease, 0, len(leases))
	for worker, left := range leases {
		out = append(out, &coordpb.WorkerLease{Worker: worker.Worker, Born: worker.StartMillis, ExpiryMs: ceilMillis(left)})
	}
	return out
}

func leasesIn(leases []*coordpb.WorkerLease) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration, len(leases))
	for _, l := range leases {
		out[workload.Incarnation{Worker: l.Worker, StartMillis: l.Born}] = time.Duration(l.ExpiryMs) * time.Millisecond
	}
	return out
}

// requestReport has the event loop report the leases. Without a report in time the newest one is
// sent again.
func (o *ownership) requestReport(ctx context.Context) {
	if o.witnesses.ReportsEnded() {
		return
	}
	timeout := time.NewTimer(reportTimeout)
	defer timeout.Stop()
	made := make(chan struct{})
	select {
	case o.reportRequests <- made:
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-made:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// clockLead returns by how much the authority clock is ahead of the monotonic one, or a little more.
// It grows when the VM is suspended.
func (n *Node) clockLead() time.Duration {
	monotonic := n.monotonicNow()
	return n.authorityNow() - monotonic
}

// report reports the expiry of leases, which is on the monotonic clock, to the witnesses: on the
// authority clock, as they go on counting while this VM is suspended.
func (o *ownership) report(expiry map[workload.Incarnation]time.Duration) {
	lead := o.node.clockLead()
	for worker, at := range expiry {
		expiry[worker] = at + lead
	}
	o.witnesses.Report(expiry)
}

// leaseExpiryLimit returns the time, on the monotonic clock, by which a lease that is granted to a
// worker now must have expired. It returns false if no report limits it.
func (c *cell) leaseExpiryLimit(worker workload.Incarnation) (time.Duration, bool) {
	limit, limited := c.witnesses.Load().WorkerLimit(worker)
	return limit - c.node.clockLead(), limited
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
				o.postLeases(ctx, previous, leasesIn(answer.Leases))
			}
			return
		}
		sleep(ctx, retryDelay(attempt))
	}
}

func (o *ownership) postLeases(ctx context.Context, previous ledger.Owner, expiry map[workload.Incarnation]time.Duration) {
	last := time.Duration(0)
	for _, left := range expiry {
		last = max(last, left)
	}
	o.node.logger.Log(logevent.LeasesReported, zap.Int("cell", o.number), zap.String("vm", previous.VM),
		zap.Int64("epoch", previous.Epoch), zap.Int("workers", len(expiry)), zap.Duration("duration", last))
	o.post(ctx, dispatch.LeasesReported{Expiry: expiry})
}

func (o *ownership) callReportHolder(ctx context.Context, one ledger.Witness, q *coordpb.LastReportRequest) (*coordpb.LastReportAnswer, error) {
	if one.PeerAddress == o.node.config.PeerAddress {
		return o.node.LastReport(ctx, q)
	}
	return o.node.peers.client(one.PeerAddress).LastReport(ctx, q)
}
