package coordinator

import (
	"context"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// notice is a record that was appended to an intake at an offset.
type notice struct {
	offset int64
	record []byte
}

// notifyOwner tells the cell's owner of a record without waiting for it.
func (c *cell) notifyOwner(told notice) {
	if c.owning.Load() {
		c.takeNotice(told)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if c.node.owners.of(c.number).PeerAddress == "" {
			c.node.owners.refresh(ctx)
		}
		owner := c.node.owners.of(c.number)
		if owner.PeerAddress == "" || owner.PeerAddress == c.node.config.PeerAddress {
			return
		}
		_, err := c.node.peers.client(owner.PeerAddress).Notify(ctx, &coordpb.NotifyRequest{
			Cell: int32(c.number), Offset: told.offset, Record: told.record,
		})
		c.node.meters.notified(err)
	}()
}

// takeNotice queues a notice for the cell's goroutine. A notice that finds no
// room is dropped: the log tells of the record too.
func (c *cell) takeNotice(told notice) {
	select {
	case c.notices <- told:
	default:
		c.node.meters.notified(ErrUnavailable)
	}
}

// Notify takes a notice of another node.
func (n *Node) Notify(_ context.Context, q *coordpb.NotifyRequest) (*coordpb.NotifyAnswer, error) {
	if c := n.cell(q.Cell); c != nil && c.owning.Load() {
		c.takeNotice(notice{offset: q.Offset, record: q.Record})
	}
	return &coordpb.NotifyAnswer{}, nil
}
