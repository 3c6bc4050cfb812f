package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// sendJoin emits the join record once. A VM that stops before it has joined needs
// no leave record.
func (m *Machine) sendJoin() {
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

// sendDueRenewal emits a renewal when one is due. Only one is in flight at a time,
// because the writer retries it until it has been read back.
func (m *Machine) sendDueRenewal() {
	if m.pendingRenewal != nil || m.leaveSent || !m.renewalDue() {
		return
	}
	m.renewalCount++
	m.stoppingSent = m.stopping
	m.renewalSentAt, m.renewalRead = m.now, m.lastOffset
	m.pendingRenewal = &pendingRecord{number: m.renewalCount, sentAt: m.now}
	m.emit(Append{Record: &recordpb.Record{Renew: &recordpb.Renew{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Joined:      m.joinOffset,
		Number:      m.renewalCount,
		Cells:       m.cellsToRenew(),
		Synced:      m.syncedVMs,
		Read:        m.lastOffset,
		Stopping:    m.stopping,
	}}})
}

func (m *Machine) renewalDue() bool {
	if m.stopping && !m.stoppingSent {
		return true
	}
	if m.renewalCount == 0 || m.now-m.renewalSentAt >= m.config.RenewEvery {
		return true
	}
	for i := range m.cells {
		c := &m.cells[i]
		if !m.activeOwner(c) || c.releaseSent {
			continue
		}
		// A VM that joins can claim the cell by expiry only after a renewal that covers its join.
		if c.leaseEnd == 0 || m.lastJoin > max(c.ownerReadOffset, m.renewalRead) {
			return true
		}
	}
	return false
}

func (m *Machine) cellsToRenew() []*recordpb.CellTerm {
	var cells []*recordpb.CellTerm
	for i := range m.cells {
		c := &m.cells[i]
		if !m.activeOwner(c) || c.releaseSent {
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

// sendLeaveWhenDone emits the leave record once a stopping VM has no cell and no
// claim left.
func (m *Machine) sendLeaveWhenDone() {
	if !m.stopping || m.leaveSent {
		return
	}
	for i := range m.cells {
		c := &m.cells[i]
		if c.ownTerm != 0 || c.pendingClaim != nil || m.owns(c) {
			return
		}
	}
	m.leaveSent = true
	m.emit(Append{Record: &recordpb.Record{Leave: &recordpb.Leave{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
	}}})
}
