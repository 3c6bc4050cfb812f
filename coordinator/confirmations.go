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
	// reports are the newest reports of leases of the epochs in at.
	reports map[int64]*heldReport
}

// confirm confirms the owner of an epoch and takes its report over, unless a successor has asked
// for the epoch. It returns the number of the newest report that it holds, and how many of the
// owner's workers it knows.
func (c *confirmations) confirm(epoch int64, report *coordpb.LeaseReport, now time.Duration) (confirmed bool, held int64, known knownNumbering) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch <= max(c.barred, c.forgottenEpoch) {
		return false, 0, knownNumbering{}
	}
	if c.at == nil {
		c.at, c.reports = make(map[int64]time.Duration), make(map[int64]*heldReport)
	}
	if c.reports[epoch] == nil {
		c.reports[epoch] = &heldReport{}
	}
	if report != nil {
		c.reports[epoch].update(report, now)
	}
	held, known = c.reports[epoch].number, c.reports[epoch].known()
	c.at[epoch] = max(c.at[epoch], now)
	if len(c.at) > maxConfirmedEpochs {
		oldest := epoch
		for other := range c.at {
			oldest = min(oldest, other)
		}
		c.forgottenEpoch, c.forgotten = oldest, max(c.forgotten, c.at[oldest])
		delete(c.at, oldest)
		delete(c.reports, oldest)
	}
	return true, held, known
}

// last returns when an epoch, or one before it, was last confirmed, and bars them. It returns
// false if none was. report is the number of the epoch's newest report, or 0.
func (c *confirmations) last(epoch int64) (last time.Duration, confirmed bool, report int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = max(c.barred, epoch)
	last, confirmed = c.forgotten, c.forgottenEpoch > 0
	if held := c.reports[epoch]; held != nil {
		report = held.number
	}
	for other, at := range c.at {
		if other <= epoch {
			last, confirmed = max(last, at), true
		}
	}
	return last, confirmed, report
}

// report returns the newest report of an epoch that is barred, or 0. No newer one replaces it.
func (c *confirmations) report(epoch int64, now time.Duration) (number int64, leases []*coordpb.WorkerLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.reports[epoch]
	if held == nil || epoch > c.barred {
		return 0, nil
	}
	return held.number, held.leases(now)
}

// ConfirmOwner handles the call of an owner whose witness this process is.
func (n *Node) ConfirmOwner(_ context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || q.Process != n.process {
		return &coordpb.ConfirmOwnerAnswer{Leaving: true}, nil
	}
	confirmed, held, known := c.confirmations.confirm(q.Epoch, q.Report, n.monotonicNow())
	return &coordpb.ConfirmOwnerAnswer{
		Confirmed: confirmed, Report: held, Numbering: known.number, KnownWorkers: int32(known.workers), Leaving: n.stopping.Load(),
	}, nil
}

// LastConfirmed handles the call of an owner whose predecessor's witness this process, or an
// earlier one on this VM, is.
func (n *Node) LastConfirmed(_ context.Context, q *coordpb.LastConfirmedRequest) (*coordpb.LastConfirmedAnswer, error) {
	c := n.cell(q.Cell)
	now := n.monotonicNow()
	if c == nil || q.Process != n.process {
		return &coordpb.LastConfirmedAnswer{AgeMs: now.Milliseconds()}, nil
	}
	last, confirmed, report := c.confirmations.last(q.Epoch)
	return &coordpb.LastConfirmedAnswer{Never: !confirmed, AgeMs: (now - last).Milliseconds(), Report: report}, nil
}

// LastReport handles the call of an owner whose predecessor's report this process holds.
func (n *Node) LastReport(_ context.Context, q *coordpb.LastReportRequest) (*coordpb.LastReportAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || q.Process != n.process {
		return &coordpb.LastReportAnswer{}, nil
	}
	number, leases := c.confirmations.report(q.Epoch, n.monotonicNow())
	return &coordpb.LastReportAnswer{Number: number, Leases: leases}, nil
}
