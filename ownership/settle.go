package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// A reader that starts in the middle of the stream, because the log has
// dropped the beginning, doesn't know the last record of a cell and so can't
// tell a valid claim from an invalid one. A renewal settles the question: it
// names the offset up to which its writer had read the stream when it still
// owned the cell.

// startReading notes the offset of the first record.
func (m *Machine) startReading(first int64) {
	m.first = first
	m.firstAt = m.now
	for i := range m.cells {
		m.cells[i].unsettled = first > 1
	}
}

// settle takes a renewal of an unsettled cell. Its writer owns the cell if it
// had read everything that could have ended its ownership, or if its term is
// the last claim. Otherwise the highest term is the best guess.
func (m *Machine) settle(c *cell, r *recordpb.Renew, held *recordpb.CellTerm) {
	if !c.unsettled {
		return
	}
	settled := r.Read >= max(c.candidate, m.first-1) || held.Term == c.candidate
	if !settled && c.known && held.Term <= c.term {
		return
	}
	c.unsettled = !settled
	if c.owner == r.Vm && c.incarnation == r.Incarnation && c.term == held.Term {
		return
	}
	m.loseTo(c, max(held.Term, c.ownTerm+1))
	c.setOwner(r.Vm, r.Incarnation, held.Term, m.now)
	if m.owns(c) {
		c.begin()
	}
}

// expected is the precondition of a claim. A reader that knows nothing of the
// cell accepts a claim that refers to what it hasn't read, until a renewal
// settles the cell.
func (m *Machine) expected(c *cell, expects int64) bool {
	if m.config.Unsafe.NoExpects {
		return true
	}
	if c.unsettled && !c.known {
		return expects < m.first
	}
	return expects == c.last
}
