package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// join writes the join record once. A VM that stops before has nothing to leave.
func (m *Machine) join() {
	if m.joinSent {
		return
	}
	if m.stopping {
		m.left = true
		m.emit(StopCompleted{})
		return
	}
	m.joinSent = true
	m.emit(Append{Record: &recordpb.Record{Join: &recordpb.Join{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
	}}})
}

// renew writes a renewal when one is due. Only one is in flight, because the
// writer repeats it until it has been read back.
func (m *Machine) renew() {
	if m.renewal != nil || m.leaveSent || !m.renewDue() {
		return
	}
	m.renewals++
	m.stopTold = m.stopping
	m.renewedAt = m.now
	m.renewal = &pending{number: m.renewals, sentAt: m.now}
	m.emit(Append{Record: &recordpb.Record{Renew: &recordpb.Renew{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Joined:      m.joined,
		Number:      m.renewals,
		Cells:       m.renewedCells(),
		Synced:      m.synced,
		Read:        m.offset,
		Stopping:    m.stopping,
	}}})
}

func (m *Machine) renewDue() bool {
	if m.stopping && !m.stopTold {
		return true
	}
	if m.renewals == 0 || m.now-m.renewedAt >= m.config.RenewEvery {
		return true
	}
	for i := range m.cells {
		c := &m.cells[i]
		if m.active(c) && !c.releaseSent && c.leaseEnd == 0 {
			return true
		}
	}
	return false
}

func (m *Machine) renewedCells() []*recordpb.CellTerm {
	var cells []*recordpb.CellTerm
	for i := range m.cells {
		c := &m.cells[i]
		if !m.active(c) || c.releaseSent {
			continue
		}
		cells = append(cells, &recordpb.CellTerm{
			Cell:         int32(i),
			Term:         c.term,
			Predecessors: c.predecessors,
		})
	}
	return cells
}

// leave writes the leave record when a stopping VM has nothing left to do.
func (m *Machine) leave() {
	if !m.stopping || m.leaveSent {
		return
	}
	for i := range m.cells {
		c := &m.cells[i]
		if c.ownTerm != 0 || c.claim != nil || m.owns(c) {
			return
		}
	}
	m.leaveSent = true
	m.emit(Append{Record: &recordpb.Record{Leave: &recordpb.Leave{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
	}}})
}
