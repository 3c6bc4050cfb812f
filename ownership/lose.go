package ownership

// loseTo notes that a newer term supersedes this VM's ownership.
func (m *Machine) loseTo(c *cell, term int64) {
	if c.ownTerm == 0 || term <= c.ownTerm {
		return
	}
	if c.rescue {
		c.end()
		return
	}
	c.lostTerm = max(c.lostTerm, term)
}

// newerTerm takes a peer's or worker's word that a newer term exists.
func (m *Machine) newerTerm(number int, term int64) {
	if c := m.cell(number); c != nil {
		m.loseTo(c, term)
	}
}

// drainLost asks for the requests on lost cells to end. A cell that had been
// drained for its release is acknowledged at once.
func (m *Machine) drainLost() {
	for i := range m.cells {
		c := &m.cells[i]
		if c.ownTerm == 0 || c.lostTerm == 0 {
			continue
		}
		if c.drained {
			m.acknowledgeLost(i)
			continue
		}
		if !c.drainAsked {
			c.drainAsked = true
			m.emit(Drain{Cell: i})
		}
	}
}

// acknowledgeLost ends an ownership that a newer term supersedes.
func (m *Machine) acknowledgeLost(number int) {
	c := &m.cells[number]
	m.emit(Append{Record: m.acknowledgement(number, max(c.lostTerm, c.term))})
	c.end()
}
