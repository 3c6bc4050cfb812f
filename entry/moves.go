package entry

import (
	"context"

	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/tasks"
)

// offerMove offers a task to the owner of another cell. The machine retries an
// offer that is not confirmed.
func (n *Node) offerMove(ctx context.Context, a tasks.OfferMove) {
	n.deliverMove(ctx, a.To, &peerpb.MoveRequest{
		DataCentre:     a.To.DataCentre,
		Cell:           a.To.Cell,
		FromDataCentre: a.Offer.From.GetDataCentre(),
		FromCell:       a.Offer.From.GetCell(),
		Task:           a.Offer.Task,
		Move:           a.Offer.Move,
		Attempt:        a.Offer.Attempt,
		Checkpoint:     a.Offer.Checkpoint,
		Failures:       a.Offer.Failures,
	}, true)
}

// confirmMove reports to the owner of the source cell that the task was
// adopted.
func (n *Node) confirmMove(ctx context.Context, a tasks.ConfirmMove) {
	n.deliverMove(ctx, a.To, &peerpb.MoveRequest{
		DataCentre: a.To.DataCentre,
		Cell:       a.To.Cell,
		Task:       a.Confirmed.Task,
		Move:       a.Confirmed.Move,
	}, false)
}

// deliverMove delivers a message to the owner of a cell: to this VM or to a
// peer. A message that no owner accepts is dropped.
func (n *Node) deliverMove(ctx context.Context, to *recordpb.Cell, m *peerpb.MoveRequest, offer bool) {
	if n.deliverMoveLocally(m, offer) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	for _, p := range n.peersOwning(to) {
		send := p.client.ConfirmMove
		if offer {
			send = p.client.OfferMove
		}
		if response, err := send(ctx, m); err == nil && response.Delivered {
			return
		}
	}
}

// peersOwning returns the peers whose summaries list a cell.
func (n *Node) peersOwning(cell *recordpb.Cell) []*peerState {
	now := n.clock()
	var owners []*peerState
	for _, p := range n.peers {
		summary, ok := p.recentSummary(now)
		if !ok {
			continue
		}
		for _, c := range summary.Cells {
			if c.DataCentre == cell.DataCentre && c.Cell == cell.Cell {
				owners = append(owners, p)
			}
		}
	}
	return owners
}

// deliverMoveLocally passes a message to the machine of an owned or rescued
// cell. It reports false if this VM does not run the cell.
func (n *Node) deliverMoveLocally(m *peerpb.MoveRequest, offer bool) bool {
	r := n.findRunner(m.DataCentre, int(m.Cell))
	if r == nil {
		return false
	}
	if !offer {
		r.sendEvent(tasks.MoveConfirmed{Task: m.Task, Move: m.Move})
		return true
	}
	r.sendEvent(tasks.MoveOffered{
		From:       &recordpb.Cell{DataCentre: m.FromDataCentre, Cell: m.FromCell},
		Task:       m.Task,
		Attempt:    m.Attempt,
		Checkpoint: m.Checkpoint,
		Move:       m.Move,
		Failures:   m.Failures,
	})
	return true
}
