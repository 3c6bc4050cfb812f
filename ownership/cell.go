package ownership

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// cell is the state of one cell. The first group of fields depends on the
// stream alone, except for predecessors known gone by the VM list.
type cell struct {
	// termKnown is set once a record has determined a term of the cell.
	termKnown bool
	// ownerUnresolved means that the reader started in the middle of the stream
	// and can't tell yet which of several records is valid.
	ownerUnresolved bool
	// lastTransferRead is the offset of the last claim or release read while
	// the owner was unresolved.
	lastTransferRead int64
	owner            string
	incarnation      uint64
	term             int64
	// lastAccepted is the offset of the last accepted claim, release or renewal.
	lastAccepted int64
	// ownerReadOffset is the offset up to which the owner had certainly read the
	// stream when its ownership was last confirmed, so it has read every join
	// before that. For a renewal it is the offset given in the renewal: the
	// renewal's own offset would be too high, because a renewal can take effect
	// without the owner having read it back.
	ownerReadOffset int64
	previous        PreviousOwner
	rescue          bool
	// predecessors are the previous owners that may still use slots or renew task
	// leases.
	predecessors []*recordpb.Predecessor

	// lastReadAt is the local time at which the record at lastAccepted, or the
	// leave record of its owner, was read.
	lastReadAt time.Duration
	// leaseEnd is the end of this VM's lease; 0 before its first lease.
	leaseEnd time.Duration
	// waitUntil is the end of StateWaiting.
	waitUntil time.Duration
	// ownedAt is when this VM's ownership began.
	ownedAt time.Duration
	// synced names the members that hold copies of the cell's request table by this VM's
	// last renewal that was read back.
	synced []string
	// newerTerm is the newest term known to supersede ownTerm, 0 if none.
	newerTerm int64
	// ownTerm is the term of this VM's ownership, current or superseded; 0 if
	// there was none or it has been drained and acknowledged.
	ownTerm int64

	pendingClaim *pendingRecord
	// promisedUntil is the end of this VM's promise not to claim the cell.
	promisedUntil time.Duration
	// promiseRequestedAt holds, for each peer that has promised not to claim the
	// cell, the local send time of the request that it answered.
	promiseRequestedAt map[string]time.Duration

	releasing      bool
	releaseSent    bool
	drainRequested bool
	drained        bool
}

// pendingRecord is a record that this VM has sent and not yet read back.
type pendingRecord struct {
	number uint64
	// sentAt is the local time just before it was sent.
	sentAt time.Duration
}

// setOwner starts a new term at offset.
func (c *cell) setOwner(vm string, incarnation uint64, offset int64, now time.Duration) {
	c.previous = PreviousOwner{VM: c.owner, Incarnation: c.incarnation, Term: c.term}
	c.termKnown = true
	c.owner = vm
	c.incarnation = incarnation
	c.term = offset
	c.rescue = false
	c.ownerReadOffset = offset
	c.setLastAccepted(offset, now)
}

// setLastAccepted stores the offset and read time of an accepted claim, release
// or renewal.
func (c *cell) setLastAccepted(offset int64, now time.Duration) {
	c.lastAccepted = offset
	c.lastReadAt = now
}

// addPredecessor adds the current owner to the predecessors.
func (c *cell) addPredecessor(released bool) {
	c.predecessors = append(slices.Clone(c.predecessors), &recordpb.Predecessor{
		Vm:          c.owner,
		Incarnation: c.incarnation,
		Term:        c.term,
		Released:    released,
	})
}

// dropPredecessors removes the predecessors for which match returns true.
func (c *cell) dropPredecessors(match func(*recordpb.Predecessor) bool) {
	c.predecessors = slices.DeleteFunc(slices.Clone(c.predecessors), match)
}

// slotPredecessors returns the number of predecessors that may still use slots.
func (c *cell) slotPredecessors() int {
	count := 0
	for _, p := range c.predecessors {
		if !p.Released {
			count++
		}
	}
	return count
}

// beginOwnership resets the per-ownership state for a new term of this VM.
func (c *cell) beginOwnership() {
	c.ownTerm = c.term
	c.ownedAt = c.lastReadAt
	c.synced = nil
	c.newerTerm = 0
	c.leaseEnd = 0
	c.waitUntil = 0
	c.promiseRequestedAt = nil
	c.clearRelease()
}

func (c *cell) clearRelease() {
	c.releasing = false
	c.releaseSent = false
	c.drainRequested = false
	c.drained = false
}

// endOwnership clears the state of this VM's ownership.
func (c *cell) endOwnership() {
	c.ownTerm = 0
	c.synced = nil
	c.newerTerm = 0
	c.leaseEnd = 0
	c.waitUntil = 0
	c.promiseRequestedAt = nil
	c.clearRelease()
}
