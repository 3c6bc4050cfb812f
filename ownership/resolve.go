package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// A reader that starts in the middle of the stream, because the log has been
// truncated, hasn't read the last accepted record of a cell and so can't tell a
// valid claim from an invalid one. A renewal resolves the owner: it contains the
// offset up to which its writer had read the stream while it still owned the
// cell.

// startReading stores the offset of the first record. If records before it are
// missing, the owners of all cells are unresolved.
func (m *Machine) startReading(first int64) {
	m.firstOffset = first
	m.firstReadAt = m.now
	for i := range m.cells {
		m.cells[i].ownerUnresolved = first > 1
	}
}

// resolveOwner applies a renewal to a cell whose owner is unresolved. The writer
// owns the cell if it had read every record that could have ended its ownership,
// or if its term is the last claim or release read. Otherwise the renewal with
// the highest term is the most likely owner, and the cell remains unresolved.
func (m *Machine) resolveOwner(c *cell, r *recordpb.Renew, renewed *recordpb.CellTerm) {
	if !c.ownerUnresolved {
		return
	}
	resolved := r.Read >= max(c.lastTransferRead, m.firstOffset-1) || renewed.Term == c.lastTransferRead
	if !resolved && c.termKnown && renewed.Term <= c.term {
		return
	}
	c.ownerUnresolved = !resolved
	if c.owner == r.Vm && c.incarnation == r.Incarnation && c.term == renewed.Term {
		return
	}
	m.loseOwnership(c, max(renewed.Term, c.ownTerm+1))
	c.setOwner(r.Vm, r.Incarnation, renewed.Term, m.now)
	if m.owns(c) {
		c.beginOwnership()
	}
}

// claimExpectationMet reports whether a claim meets its precondition, the offset
// that it expects. A reader that has no term of the cell accepts a claim that
// refers to a record before its first one, until a renewal resolves the owner.
func (m *Machine) claimExpectationMet(c *cell, expects int64) bool {
	if m.config.Unsafe.NoExpects {
		return true
	}
	if c.ownerUnresolved && !c.termKnown {
		return expects < m.firstOffset
	}
	return expects == c.lastAccepted
}
