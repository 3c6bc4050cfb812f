package coordinator

import "time"

// Authority is the permission to own cells that a successful join gives for a limited
// time. It is measured on a clock that counts the time for which the VM is suspended:
// on the monotonic clock, a node that was suspended would go on as owner after another
// node has taken its cells over.

// authorityNow returns the time on that clock.
func (n *Node) authorityNow() time.Duration {
	if n.config.SuspendClock == nil {
		return n.monotonicNow()
	}
	return n.config.SuspendClock()
}

// joinAge returns the time since the last successful join was sent.
func (n *Node) joinAge() time.Duration {
	return n.authorityNow() - time.Duration(n.lastJoin.Load())
}

// assignmentValid reports whether the assignment of the last successful join is
// still valid.
func (n *Node) assignmentValid() bool { return n.joinAge() < assignmentValidity }

// hasAuthority reports whether the node may still send commands as an owner.
func (n *Node) hasAuthority() bool { return n.joinAge() < authorityDuration }

// assignedAge returns the time since the last join that assigned the cell to this node was
// sent. A join that takes the cell away gives no authority over it.
func (c *cell) assignedAge() time.Duration {
	return c.node.authorityNow() - time.Duration(c.lastAssigned.Load())
}

// hasAuthority reports whether the node may still send commands as the cell's owner.
func (c *cell) hasAuthority() bool { return c.assignedAge() < authorityDuration }
