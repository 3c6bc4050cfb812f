package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// maintainMembership renews the node's membership in the group and applies the
// assignments.
func (n *Node) maintainMembership(ctx context.Context) {
	var generation int64
	failing := false
	for ctx.Err() == nil && !n.stopping.Load() {
		if n.refused.Load() {
			n.leaveUntilReadable(ctx)
			generation = 0
			continue
		}
		if n.isInReserve() && !n.reserveNeeded(ctx) {
			generation = 0
			continue
		}
		sent, sentAuthority := n.monotonicNow(), n.authorityNow()
		a, err := n.join(ctx, generation)
		switch {
		case n.stopping.Load():
			return
		case err == nil:
			if failing {
				n.logger.Log(logevent.GroupRegained)
			}
			failing = false
			n.lastJoin.Store(int64(sentAuthority))
			n.recordStoreResponse()
			if a.Generation != generation {
				n.wg.Go(func() { n.learnOwners(ctx) })
			}
			generation = a.Generation
			if n.assign(a, sentAuthority) {
				// The group gives the cells away when it knows that the node knows it.
				continue
			}
		default:
			if !failing && ctx.Err() == nil {
				n.logError(logevent.GroupCallFailed, err)
			}
			failing = true
			if !n.hasAuthority() {
				n.assign(Assignment{}, 0)
			}
		}
		n.awaitNextJoin(ctx, joinInterval-(n.monotonicNow()-sent))
	}
}

// awaitNextJoin waits for a time, or until a join is requested.
func (n *Node) awaitNextJoin(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.joinRequests:
	case <-timer.C:
	}
}

// learnOwners reads the owners once the members of a new generation have opened their
// epochs. A node that has learned of an epoch early knows how old the records before it
// are, if it takes the cell over.
func (n *Node) learnOwners(ctx context.Context) {
	if sleep(ctx, ownersLearnDelay) {
		n.owners.refresh(ctx)
	}
}

// isInReserve reports whether the node owns cells only while no larger node does.
func (n *Node) isInReserve() bool { return n.config.ReserveLevel > 0 }

// hasOwnerBelow reports whether a node whose reserve level is lower owns a cell.
func (n *Node) hasOwnerBelow(ctx context.Context, reserveLevel int) (bool, error) {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	done := n.storeLatency.sent()
	owner, err := n.platform.Group.HasOwnerBelow(call, reserveLevel)
	done(err)
	n.metrics.countLogCall(err)
	if err == nil {
		n.recordStoreResponse()
	}
	return owner, err
}

// reserveNeeded reports whether a node in reserve has to own cells because no node of a lower
// level does. If it has not, reserveNeeded also waits until the next check. Each level has one
// check more, ownersLearnDelay later, so that nodes of the level below that start at the same
// time come first.
func (n *Node) reserveNeeded(ctx context.Context) bool {
	otherOwner, err := n.hasOwnerBelow(ctx, n.config.ReserveLevel)
	switch {
	case err != nil:
		// Without the store no cell can be taken over, and owned cells are kept
		// until authorityDuration has passed.
		sleep(ctx, retryDelay(1))
		return n.reserveActive.Load()
	case otherOwner:
		n.checksWithoutOwner = 0
		if n.reserveActive.Swap(false) {
			n.releaseCells()
			n.leaveGroup(ctx)
			n.waitUntilReleased(ctx)
		}
		sleep(ctx, reserveCheckInterval)
		return false
	}
	n.checksWithoutOwner++
	if n.checksWithoutOwner < reserveChecks+n.config.ReserveLevel-1 && !n.reserveActive.Load() {
		delay := reserveCheckInterval
		if n.checksWithoutOwner >= reserveChecks {
			delay = ownersLearnDelay
		}
		sleep(ctx, delay)
		return false
	}
	n.reserveActive.Store(true)
	return true
}

// join joins the group, unless the node is stopping: it has left the group then, or is about to.
func (n *Node) join(ctx context.Context, generation int64) (Assignment, error) {
	n.joining.Lock()
	defer n.joining.Unlock()
	if n.stopping.Load() {
		return Assignment{}, nil
	}
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	done := n.storeLatency.sent()
	a, err := n.platform.Group.Join(call, generation)
	done(err)
	return a, err
}

// releaseCells makes all ownerships end when their successors are ready, or after leavingTime.
func (n *Node) releaseCells() {
	for _, c := range n.cells {
		c.assign(0)
	}
}

// waitUntilReleased waits until all ownerships have ended, or ctx is done.
func (n *Node) waitUntilReleased(ctx context.Context) {
	for _, c := range n.cells {
		c.waitUntilReleased(ctx)
	}
}

// leaveGroup leaves the group. It returns false if there was no answer in time.
func (n *Node) leaveGroup(ctx context.Context) bool {
	n.joining.Lock()
	defer n.joining.Unlock()
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	err := n.platform.Group.Leave(call)
	if err != nil {
		n.logError(logevent.GroupCallFailed, err)
	}
	return err == nil
}

// assign applies the assignment of a join that was sent at a time of the authority clock. It reports
// whether a cell is no longer assigned.
func (n *Node) assign(a Assignment, sent time.Duration) (lost bool) {
	assigned := make(map[int]bool, len(a.Cells))
	for _, number := range a.Cells {
		assigned[number] = true
	}
	for _, c := range n.cells {
		if assigned[c.number] {
			proven := c.authority.assigned(sent, n.authorityNow())
			if c.authority.settle(sent) || !proven {
				signal(c.wake)
			}
			c.assign(a.Generation)
		} else {
			c.authority.release()
			lost = c.assign(0) || lost
		}
	}
	return lost
}

func (n *Node) logError(number logevent.Number, err error, fields ...zap.Field) {
	n.logger.Log(number, append(fields, zap.Error(err))...)
}

// retryDelay returns the delay before the next retry of a log call.
func retryDelay(attempt int) time.Duration {
	return min(logRetryDelay*time.Duration(attempt), 500*time.Millisecond)
}
