package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// keepMembership keeps the node in the group and assigns the cells.
func (n *Node) maintainMembership(ctx context.Context) {
	var generation int64
	joined := n.monotonicNow()
	failing := false
	for ctx.Err() == nil && !n.stopping.Load() {
		if n.config.Reserve && !n.reserveNeeded(ctx) {
			generation = 0
			continue
		}
		sent := n.monotonicNow()
		call, cancel := context.WithTimeout(ctx, logTimeout)
		a, err := n.platform.Group.Join(call, generation)
		cancel()
		switch {
		case err == nil && n.stopping.Load():
			return
		case err == nil:
			if failing {
				n.logger.Log(logevent.GroupRegained)
			}
			joined, failing = sent, false
			n.lastJoin.Store(int64(sent))
			n.recordStoreResponse()
			generation = a.Generation
			n.assign(a)
		default:
			if !failing && ctx.Err() == nil {
				n.logError(logevent.GroupCallFailed, err)
			}
			failing = true
			if n.monotonicNow()-joined > authorityDuration {
				n.assign(Assignment{})
			}
		}
		sleep(ctx, max(0, joinInterval-(n.monotonicNow()-sent)))
	}
}

// needed tells whether a node in reserve has to own cells: no other node does.
// It waits between its questions.
func (n *Node) reserveNeeded(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	volunteers, err := n.platform.Group.HasNonReserveOwner(call)
	n.metrics.countLogCall(err)
	switch {
	case err != nil:
		// Without the store nothing can be taken over, and what is owned is
		// kept until the authority ends.
		sleep(ctx, retryDelay(1))
		return n.reserveActive.Load()
	case volunteers:
		n.recordStoreResponse()
		n.checksWithoutOwner = 0
		if n.reserveActive.Swap(false) {
			n.releaseCells(ctx)
		}
		sleep(ctx, reserveCheckInterval)
		return false
	}
	n.recordStoreResponse()
	n.checksWithoutOwner++
	if n.checksWithoutOwner < reserveChecks && !n.reserveActive.Load() {
		sleep(ctx, reserveCheckInterval)
		return false
	}
	n.reserveActive.Store(true)
	return true
}

// giveUp ends all ownerships and leaves the group.
func (n *Node) releaseCells(ctx context.Context) {
	for _, c := range n.cells {
		c.assign(0)
	}
	for _, c := range n.cells {
		c.waitUntilReleased(ctx)
	}
	if err := n.platform.Group.Leave(ctx); err != nil {
		n.logError(logevent.GroupCallFailed, err)
	}
}

func (n *Node) assign(a Assignment) {
	assigned := make(map[int]bool, len(a.Cells))
	for _, number := range a.Cells {
		assigned[number] = true
	}
	for _, c := range n.cells {
		if assigned[c.number] {
			c.assign(a.Generation)
		} else {
			c.assign(0)
		}
	}
}

func (n *Node) logError(number logevent.Number, err error, fields ...zap.Field) {
	n.logger.Log(number, append(fields, zap.Error(err))...)
}

// retryPause is the wait before a call to the log is repeated.
func retryDelay(attempt int) time.Duration {
	return min(logRetryDelay*time.Duration(attempt), 500*time.Millisecond)
}
