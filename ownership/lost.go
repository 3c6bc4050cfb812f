package ownership

// loseOwnership marks this VM's ownership as superseded by a newer term. A rescue
// ends at once, as it has no requests to drain.
func (m *Machine) loseOwnership(c *cell, term int64) {
	if c.ownTerm == 0 || term <= c.ownTerm {
		return
	}
	if c.rescue {
		c.endOwnership()
		return
	}
	c.newerTerm = max(c.newerTerm, term)
}

// applyNewerTerm handles a peer's or worker's report of a newer term.
func (m *Machine) applyNewerTerm(number int, term int64) {
	if c := m.cell(number); c != nil {
		m.loseOwnership(c, term)
	}
}

// drainLost requests that lost cells be drained. A cell that was already drained
// for its release is acknowledged at once.
func (m *Machine) drainLost() {
	for i := range m.cells {
		c := &m.cells[i]
		if c.ownTerm == 0 || c.newerTerm == 0 {
			continue
		}
		if c.drained {
			m.acknowledgeLost(i)
			continue
		}
		if !c.drainRequested {
			c.drainRequested = true
			m.emit(Drain{Cell: i})
		}
	}
}

// acknowledgeLost acknowledges the newer term of a lost cell and ends this VM's
// ownership.
func (m *Machine) acknowledgeLost(number int) {
	c := &m.cells[number]
	m.emit(Append{Record: m.acknowledgeRecord(number, max(c.newerTerm, c.term))})
	c.endOwnership()
}
