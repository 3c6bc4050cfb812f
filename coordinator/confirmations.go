package coordinator

import (
	"context"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// ConfirmOwner handles the call of an owner whose witness this process is.
func (n *Node) ConfirmOwner(_ context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil {
		return &coordpb.ConfirmOwnerAnswer{Leaving: true}, nil
	}
	answer := c.confirmations.Confirm(q.Process, q.Epoch, reportOf(q.Report), n.monotonicNow())
	return &coordpb.ConfirmOwnerAnswer{
		Confirmed: answer.Confirmed, Leaving: answer.Leaving || n.stopping.Load(),
		Report: answer.Report, Numbering: answer.Known.Numbering, KnownWorkers: int32(answer.Known.Workers),
	}, nil
}

// LastConfirmed handles the call of an owner whose predecessor's witness this process, or an
// earlier one on this VM, is.
func (n *Node) LastConfirmed(_ context.Context, q *coordpb.LastConfirmedRequest) (*coordpb.LastConfirmedAnswer, error) {
	c := n.cell(q.Cell)
	now := n.monotonicNow()
	if c == nil {
		return &coordpb.LastConfirmedAnswer{AgeMs: now.Milliseconds()}, nil
	}
	answer := c.confirmations.LastConfirmed(q.Process, q.Epoch, now)
	return &coordpb.LastConfirmedAnswer{Never: answer.Never, AgeMs: answer.Age.Milliseconds(), Report: answer.Report}, nil
}

// LastReport handles the call of an owner whose predecessor's report this process holds.
func (n *Node) LastReport(_ context.Context, q *coordpb.LastReportRequest) (*coordpb.LastReportAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil {
		return &coordpb.LastReportAnswer{}, nil
	}
	number, leases := c.confirmations.LastReport(q.Process, q.Epoch, n.monotonicNow())
	return &coordpb.LastReportAnswer{Number: number, Leases: leaseMessages(leases)}, nil
}
