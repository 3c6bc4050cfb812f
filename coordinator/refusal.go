package coordinator

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

const (
	// firstRefusalDelay is the time after which a cell that was refused is read again; it
	// doubles with each further refusal, up to maxRefusalDelay.
	firstRefusalDelay = 15 * time.Second
	maxRefusalDelay   = 2 * time.Minute
)

// errStateMissing is wrapped by errors about records that have expired while the snapshot that
// may have them can't be read.
var errStateMissing = errors.New("records have expired, and no snapshot that can be read has them")

// refusal says that this node doesn't own a cell because it can't read all of its state.
type refusal struct {
	// retryAt is when the cell is read again, delay the time from the refusal until then.
	retryAt, delay time.Duration
}

// isRefusal reports whether an error of reading a cell means that another node may read it.
func isRefusal(err error) bool {
	return errors.Is(err, ledger.ErrUnknownFormat) || errors.Is(err, errStateMissing)
}

// refuse gives the cell up: the node leaves the group until it has read the cell again.
func (c *cell) refuse(err error) {
	delay := firstRefusalDelay
	if last := c.refusal.Load(); last != nil {
		delay = min(2*last.delay, maxRefusalDelay)
	}
	c.refusal.Store(&refusal{retryAt: c.node.monotonicNow() + delay, delay: delay})
	c.node.metrics.count("cells_refused", "cell", strconv.Itoa(c.number))
	c.node.logError(logevent.CellRefused, err, zap.Int("cell", c.number), zap.Duration("duration", delay))
	c.generation.Store(0)
	c.node.refused.Store(true)
}

// isRefused reports whether the cell was refused and is not to be read yet.
func (c *cell) isRefused() bool {
	r := c.refusal.Load()
	return r != nil && c.node.monotonicNow() < r.retryAt
}

// leaveUntilReadable keeps the node out of the group, so that other nodes get its cells, until it has
// read all cells that it refused. The group can't be told to give away a single cell. If no
// other node owns any cell, the node returns for those that it can read.
func (n *Node) leaveUntilReadable(ctx context.Context) {
	n.refused.Store(false)
	n.releaseCells()
	n.leaveGroup(ctx)
	n.waitUntilReleased(ctx)
	checksWithoutOwner := 0
	for sleep(ctx, reserveCheckInterval) && !n.stopping.Load() {
		if n.readRefusedCells(ctx) {
			return
		}
		otherOwner, err := n.hasOwnerBelow(ctx, 1)
		if err != nil {
			continue
		}
		checksWithoutOwner++
		if otherOwner {
			checksWithoutOwner = 0
		}
		if len(n.cells) > 1 && checksWithoutOwner >= reserveChecks {
			return
		}
	}
}

// readRefusedCells reads the refused cells that are to be read again, and reports whether none
// is left.
func (n *Node) readRefusedCells(ctx context.Context) bool {
	left := false
	for _, c := range n.cells {
		if c.refusal.Load() == nil {
			continue
		}
		if c.isRefused() {
			left = true
			continue
		}
		call, cancel := context.WithTimeout(ctx, snapshotTimeout+refusedReadTime)
		_, err := c.refresh(call)
		cancel()
		if isRefusal(err) {
			c.refuse(err)
		}
		if err != nil {
			left = true
			continue
		}
		c.refusal.Store(nil)
	}
	n.refused.Store(false)
	return !left
}

// missingState returns an error if records that have expired may be in a snapshot that was not
// read. Records that no snapshot has are lost to every node. A snapshot that could not be loaded
// is no reason to refuse the cell: the store returns it later, to this node as to any other.
func (c *cell) missingState() error {
	switch {
	case c.unreadable != nil:
		return c.unreadable
	case errors.Is(c.snapshotErr, ledger.ErrIncompleteSnapshot), errors.Is(c.snapshotErr, ledger.ErrBadRecord):
		return errors.Join(errStateMissing, c.snapshotErr)
	}
	return c.snapshotErr
}
