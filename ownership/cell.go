package ownership

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// cell is the state of one cell. The first group of fields depends on the
// stream alone, except for predecessors known gone by the VM list.
type cell struct {
	// known is false until a record of the cell was read.
	known bool
	// unsettled means that the reader started in the middle of the stream and
	// can't yet tell which of several records is valid; candidate is the
	// offset of the last claim or release that it has read meanwhile.
	unsettled   bool
	candidate   int64
	owner       string
	incarnation uint64
	term        int64
	// last is the offset of the last accepted claim, release or renewal.
	last int64
	// ownerRead is the offset up to which the owner had certainly read the
	// stream when it was last confirmed: it knows every member that joined
	// before. For a renewal that is what the renewal says, because an owner
	// acts on renewals that landed without having read them back.
	ownerRead    int64
	previous     PreviousOwner
	rescue       bool
	predecessors []*recordpb.Predecessor

	// readAt is the local time at which the record at last was read.
	readAt time.Duration
	// leaseEnd is the end of this VM's lease; 0 before its first.
	leaseEnd  time.Duration
	waitUntil time.Duration
	// lostTerm is the newest term known to supersede ownTerm, 0 if none.
	lostTerm int64
	// ownTerm is the term that this VM has or had, 0 if it never had or has
	// drained and acknowledged it.
	ownTerm int64

	claim         *pending
	promisedUntil time.Duration
	// promises holds the time at which the question was asked that a peer
	// answered with a promise.
	promises map[string]time.Duration

	releasing   bool
	releaseSent bool
	drainAsked  bool
	drained     bool
}

// pending is a record that this VM has sent and not read back.
type pending struct {
	number uint64
	// sentAt is the local time before it was sent.
	sentAt time.Duration
}

// setOwner starts a term.
func (c *cell) setOwner(vm string, incarnation uint64, offset int64, now time.Duration) {
	c.previous = PreviousOwner{VM: c.owner, Incarnation: c.incarnation, Term: c.term}
	c.known = true
	c.owner = vm
	c.incarnation = incarnation
	c.term = offset
	c.rescue = false
	c.ownerRead = offset
	c.touch(offset, now)
}

// touch records an accepted claim, release or renewal.
func (c *cell) touch(offset int64, now time.Duration) {
	c.last = offset
	c.readAt = now
}

// addPredecessor remembers the present owner as a former one.
func (c *cell) addPredecessor(released bool) {
	c.predecessors = append(slices.Clone(c.predecessors), &recordpb.Predecessor{
		Vm:          c.owner,
		Incarnation: c.incarnation,
		Term:        c.term,
		Released:    released,
	})
}

// dropPredecessors removes the former owners that match.
func (c *cell) dropPredecessors(match func(*recordpb.Predecessor) bool) {
	c.predecessors = slices.DeleteFunc(slices.Clone(c.predecessors), match)
}

// slotPredecessors counts the former owners that may still use slots.
func (c *cell) slotPredecessors() int {
	count := 0
	for _, p := range c.predecessors {
		if !p.Released {
			count++
		}
	}
	return count
}

// begin starts an ownership of this VM.
func (c *cell) begin() {
	c.ownTerm = c.term
	c.lostTerm = 0
	c.leaseEnd = 0
	c.waitUntil = 0
	c.promises = nil
	c.clearRelease()
}

func (c *cell) clearRelease() {
	c.releasing = false
	c.releaseSent = false
	c.drainAsked = false
	c.drained = false
}

// end forgets an ownership of this VM.
func (c *cell) end() {
	c.ownTerm = 0
	c.lostTerm = 0
	c.leaseEnd = 0
	c.waitUntil = 0
	c.promises = nil
	c.clearRelease()
}
