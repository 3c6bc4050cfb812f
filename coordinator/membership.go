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
