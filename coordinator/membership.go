package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// keepMembership keeps the node in the group and assigns the cells.
func (n *Node) keepMembership(ctx context.Context) {
	var generation int64
	joined := n.now()
	failing := false
	for ctx.Err() == nil && !n.stopping.Load() {
		if n.config.Reserve && !n.needed(ctx) {
			generation = 0
			continue
		}
		sent := n.now()
		call, cancel := context.WithTimeout(ctx, logTimeout)
		a, err := n.platform.Group.Join(call, generation)
		cancel()
		switch {
		case err == nil && n.stopping.Load():
			return
		case err == nil:
			if failing {
				n.events.Log(logevent.GroupRegained)
			}
			joined, failing = sent, false
			n.joinedAt.Store(int64(sent))
			n.storeAnswered()
			generation = a.Generation
			n.assign(a)
		default:
			if !failing && ctx.Err() == nil {
				n.logError(logevent.GroupCallFailed, err)
			}
			failing = true
			if n.now()-joined > authority {
				n.assign(Assignment{})
			}
		}
		pause(ctx, max(0, joinInterval-(n.now()-sent)))
	}
}

// needed tells whether a node in reserve has to own cells: no other node does.
// It waits between its questions.
func (n *Node) needed(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	volunteers, err := n.platform.Group.Volunteers(call)
	n.meters.logCall(err)
	switch {
	case err != nil:
		// Without the store nothing can be taken over, and what is owned is
		// kept until the authority ends.
		pause(ctx, retryPause(1))
		return n.serving.Load()
	case volunteers:
		n.storeAnswered()
		n.absent = 0
		if n.serving.Swap(false) {
			n.giveUp(ctx)
		}
		pause(ctx, reserveInterval)
		return false
	}
	n.storeAnswered()
	n.absent++
	if n.absent < reserveChecks && !n.serving.Load() {
		pause(ctx, reserveInterval)
		return false
	}
	n.serving.Store(true)
	return true
}

// giveUp ends all ownerships and leaves the group.
func (n *Node) giveUp(ctx context.Context) {
	for _, c := range n.cells {
		c.assign(0)
	}
	for _, c := range n.cells {
		c.waitReleased(ctx)
	}
	if err := n.platform.Group.Leave(ctx); err != nil {
		n.logError(logevent.GroupCallFailed, err)
	}
}

func (n *Node) assign(a Assignment) {
	mine := make(map[int]bool, len(a.Cells))
	for _, number := range a.Cells {
		mine[number] = true
	}
	for _, c := range n.cells {
		if mine[c.number] {
			c.assign(a.Generation)
		} else {
			c.assign(0)
		}
	}
}

func (n *Node) logError(number logevent.Number, err error, fields ...zap.Field) {
	n.events.Log(number, append(fields, zap.Error(err))...)
}

// retryPause is the wait before a call to the log is repeated.
func retryPause(attempt int) time.Duration {
	return min(logRetry*time.Duration(attempt), 500*time.Millisecond)
}
