package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// notification reports a record that was appended to an intake at an offset.
type notification struct {
	offset int64
	record []byte
	// receivedAt is when the owner queued the notification.
	receivedAt time.Duration
	// applied, if not nil, is closed when the owner has applied the record and all before it.
	applied chan struct{}
}

// reportApplied tells whoever waits for it that the record is applied.
func (n *notification) reportApplied() {
	if n.applied != nil {
		close(n.applied)
	}
}

// notifyOwner notifies the cell's owner of a record, asynchronously.
func (c *cell) notifyOwner(n notification) {
	if c.owning.Load() {
		c.queueNotification(n)
		return
	}
	go func() { _, _ = c.sendNotification(n) }()
}

// errNoOtherOwner means that no other node is known to own the cell.
var errNoOtherOwner = errors.New("no other owner of the cell is known")

// sendNotification notifies another node, the cell's owner, of a record.
func (c *cell) sendNotification(n notification) (*coordpb.NotifyAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if c.node.owners.owner(c.number).PeerAddress == "" {
		c.node.owners.refresh(ctx)
	}
	owner := c.node.owners.owner(c.number)
	if owner.PeerAddress == "" || owner.PeerAddress == c.node.config.PeerAddress {
		return nil, errNoOtherOwner
	}
	q := &coordpb.NotifyRequest{Cell: int32(c.number), Offset: n.offset, Record: n.record, PeerAddress: c.node.config.PeerAddress, OutlookVersion: c.requestedOutlook(owner.Epoch)}
	answer, err := c.node.peers.client(owner.PeerAddress).Notify(ctx, q)
	c.node.metrics.countNotification(err)
	if err == nil {
		c.learnOutlook(owner.Epoch, answer.Outlook)
	}
	return answer, err
}

// queueNotification queues a notification for the cell's goroutine. If the queue
// is full, the notification is dropped: the owner reads the record from the intake
// later.
func (c *cell) queueNotification(n notification) {
	n.receivedAt = c.node.monotonicNow()
	select {
	case c.notifications <- n:
	default:
		c.node.metrics.countNotification(ErrUnavailable)
	}
}

// Notify handles a notification of another node. Of a submission it answers when the submission is
// applied, or after decisionTimeout.
func (n *Node) Notify(ctx context.Context, q *coordpb.NotifyRequest) (*coordpb.NotifyAnswer, error) {
	answer := &coordpb.NotifyAnswer{}
	if c := n.cell(q.Cell); c != nil && c.owning.Load() {
		c.senders.note(q.PeerAddress, n.monotonicNow())
		ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
		defer cancel()
		use := c.applyAndCompare(ctx, notification{offset: q.Offset, record: q.Record})
		answer.Applied, answer.IdInUse = use != undecided, use == usedByOther
		answer.Outlook = c.outlookFor(q.OutlookVersion)
	}
	return answer, nil
}
