package coordinator

import (
	"sync"
	"time"
)

// cellAuthority is an owner's permission to send commands for a cell. It lasts for
// authorityDuration from a join that assigned the cell to the node while no other node
// could have opened a newer epoch. Successors expect no command after that, so a join must
// not renew it if the cell may have belonged to another node since the last one: the
// epoch must first be proven to be the newest. Times are those of the authority clock.
type cellAuthority struct {
	mu sync.Mutex
	// assignedAt is when the last join that assigned the cell was sent.
	assignedAt time.Duration
	// from is when the authority begins.
	from time.Duration
	// unproven: since unprovenSince another node may have opened a newer epoch.
	unproven      bool
	unprovenSince time.Duration
	// released: since the last join that assigned the cell another one did not.
	released bool
	// contested: another node has acted as the owner at contestedAt, and the cell has not been
	// assigned to this node since.
	contested   bool
	contestedAt time.Duration
}

// assigned records that a join assigned the cell to the node. It was sent at sent and
// answered at now. It returns false if the epoch must be proven.
func (a *cellAuthority) assigned(sent, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released || now-a.assignedAt >= assignmentValidity && !a.unproven {
		a.unproven, a.unprovenSince = true, now
	}
	a.assignedAt, a.released = sent, false
	if !a.unproven {
		a.from = sent
	}
	return !a.unproven
}

// contest records that another node has acted as the owner, so that it may have been assigned the cell.
func (a *cellAuthority) contest(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contested, a.contestedAt = true, now
}

// settle ends a contest if the join that assigned the cell was sent after it began, and reports
// whether it did.
func (a *cellAuthority) settle(sent time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.contested || sent < a.contestedAt {
		return false
	}
	a.contested = false
	return true
}

func (a *cellAuthority) isContested() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contested
}

// release records that a join did not assign the cell to the node, so that another one may open a
// newer epoch at any time.
func (a *cellAuthority) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
}

// proven records that an append of the epoch, sent at sent and not repeated, took effect:
// no newer epoch had been opened by then.
func (a *cellAuthority) proven(sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.unproven || sent < a.unprovenSince {
		return
	}
	a.unproven, a.from = false, a.assignedAt
}

// needsProof reports whether the epoch must be proven to be the newest.
func (a *cellAuthority) needsProof() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unproven
}

// age returns the time since the authority began.
func (a *cellAuthority) age(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now - a.from
}

// hasAuthority reports whether the node may still send commands as the cell's owner.
func (c *cell) hasAuthority() bool { return c.authority.age(c.node.authorityNow()) < authorityDuration }

// leaseLimit returns the duration of the longest lease that the node may grant as the
// cell's owner.
func (c *cell) leaseLimit() time.Duration {
	return min(c.joinedLeaseLimit(), c.confirmedLeaseLimit())
}

// confirmedLeaseLimit returns the part of the limit that follows from the witnesses.
func (c *cell) confirmedLeaseLimit() time.Duration {
	return c.witnesses.Load().LeaseLimit(c.node.authorityNow(), c.node.config.Dispatch.Lease)
}

// joinedLeaseLimit returns the part of the limit that follows from the joins.
func (c *cell) joinedLeaseLimit() time.Duration {
	return max(0, leaseAuthority+c.node.config.Dispatch.Lease-c.authority.age(c.node.authorityNow()))
}
