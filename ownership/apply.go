package ownership

import (
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// apply updates the state with one record. Duplicate records are not filtered:
// a reader that starts in the middle of the stream may not have read the earlier
// copy, and all readers must reach the same state. A duplicate is harmless
// because claims, releases and renewals contain the term or offset that they
// refer to.
func (m *Machine) apply(e Applied) {
	if m.firstOffset == 0 {
		m.startReading(e.Offset)
	}
	m.lastOffset = e.Offset
	r := e.Record
	switch {
	case r.GetJoin() != nil:
		m.applyJoin(r.Join)
	case r.GetRenew() != nil:
		m.applyRenew(r.Renew)
	case r.GetClaim() != nil:
		m.applyClaim(r.Claim)
	case r.GetRelease() != nil:
		m.applyRelease(r.Release)
	case r.GetLeave() != nil:
		m.applyLeave(r.Leave)
	case r.GetAcknowledge() != nil:
		m.applyAcknowledge(r.Acknowledge)
	}
}

func (m *Machine) applyJoin(r *recordpb.Join) {
	current := m.members[r.Vm]
	if current != nil && current.incarnation == r.Incarnation {
		return
	}
	m.setMember(r.Vm, &member{incarnation: r.Incarnation, joinOffset: m.lastOffset, firstReadAt: m.now, lastReadAt: m.now})
	if r.Vm != m.config.VM {
		m.lastJoin = m.lastOffset
	}
	if m.config.Rescuer || r.Vm != m.config.VM {
		return
	}
	switch {
	case r.Incarnation == m.config.Incarnation && m.joinOffset == 0:
		m.joinOffset, m.joinReadAt = m.lastOffset, m.now
	case m.joinSent && m.joinOffset != 0 && !m.superseded:
		m.superseded = true
		m.emit(Superseded{})
	}
}

// updateMember updates the writer's member entry from a record that contains the
// writer's join offset.
func (m *Machine) updateMember(vm string, incarnation uint64, joined int64) {
	current := m.members[vm]
	if current == nil || current.joinOffset < joined {
		current = &member{incarnation: incarnation, joinOffset: joined, firstReadAt: m.now}
		m.setMember(vm, current)
	}
	if current.incarnation == incarnation {
		current.lastReadAt = m.now
	}
}

func (m *Machine) applyRenew(r *recordpb.Renew) {
	m.updateMember(r.Vm, r.Incarnation, r.Joined)
	if current := m.members[r.Vm]; current.incarnation == r.Incarnation {
		current.stopping = current.stopping || r.Stopping
	}
	own := r.Vm == m.config.VM && r.Incarnation == m.config.Incarnation
	awaited := own && m.pendingRenewal != nil && m.pendingRenewal.number == r.Number
	for _, renewed := range r.Cells {
		c := m.cell(int(renewed.Cell))
		if c == nil {
			continue
		}
		m.resolveOwner(c, r, renewed)
		if c.owner != r.Vm || c.incarnation != r.Incarnation || c.term != renewed.Term {
			continue
		}
		c.setLastAccepted(m.lastOffset, m.now)
		c.ownerReadOffset = max(c.ownerReadOffset, r.Read)
		if own {
			m.noteSynced(c, r)
		} else {
			c.predecessors = renewed.Predecessors
		}
		if awaited {
			c.leaseEnd = max(c.leaseEnd, m.pendingRenewal.sentAt+m.config.Lease)
		}
	}
	if awaited {
		m.pendingRenewal = nil
	}
}

func (m *Machine) applyClaim(r *recordpb.Claim) {
	if !r.Rescue {
		m.updateMember(r.Vm, r.Incarnation, r.Joined)
	}
	c := m.cell(int(r.Cell))
	if c == nil {
		return
	}
	own := r.Vm == m.config.VM && r.Incarnation == m.config.Incarnation
	awaited := own && c.pendingClaim != nil && c.pendingClaim.number == r.Number
	accepted := m.claimExpectationMet(c, r.Expects)
	if c.ownerUnresolved {
		c.lastTransferRead = m.lastOffset
	}
	if accepted {
		m.acceptClaim(c, r, awaited)
	}
	if awaited {
		c.pendingClaim = nil
	}
}

func (m *Machine) acceptClaim(c *cell, r *recordpb.Claim, awaited bool) {
	replaced := c.owner != "" && !c.rescue
	if replaced && !m.goneByRecords(c.owner, c.incarnation) {
		c.addPredecessor(false)
	}
	m.loseOwnership(c, m.lastOffset)
	c.setOwner(r.Vm, r.Incarnation, m.lastOffset, m.now)
	c.rescue = r.Rescue
	c.dropPredecessors(func(p *recordpb.Predecessor) bool {
		return p.Vm == r.Vm && p.Incarnation == r.Incarnation
	})
	if !m.owns(c) {
		return
	}
	c.beginOwnership()
	if awaited {
		c.leaseEnd = c.pendingClaim.sentAt + m.config.Lease
	}
	if replaced && !m.config.Unsafe.NoSlotWait {
		c.waitUntil = m.now + m.config.withDriftMargin(m.config.MaxRequest)
	}
}

func (m *Machine) applyRelease(r *recordpb.Release) {
	c := m.cell(int(r.Cell))
	if c == nil {
		return
	}
	if c.ownerUnresolved {
		c.lastTransferRead = m.lastOffset
	}
	if c.owner != r.Vm || c.incarnation != r.Incarnation || c.term != r.Term {
		return
	}
	own := m.owns(c)
	c.addPredecessor(true)
	c.setOwner(r.To, r.ToIncarnation, m.lastOffset, m.now)
	if to := m.members[r.To]; to != nil && to.incarnation == r.ToIncarnation && to.left {
		// The receiver's leave record precedes the release: the cell has no owner.
		c.owner, c.incarnation = "", 0
	}
	c.dropPredecessors(func(p *recordpb.Predecessor) bool {
		return p.Vm == r.To && p.Incarnation == r.ToIncarnation
	})
	if own {
		c.endOwnership()
		m.emit(Append{Record: m.acknowledgeRecord(int(r.Cell), m.lastOffset)})
	}
	if m.owns(c) {
		c.beginOwnership()
	}
}

func (m *Machine) applyLeave(r *recordpb.Leave) {
	current := m.members[r.Vm]
	if current != nil && current.incarnation == r.Incarnation {
		current.left = true
	}
	for i := range m.cells {
		c := &m.cells[i]
		c.dropPredecessors(func(p *recordpb.Predecessor) bool {
			return p.Vm == r.Vm && p.Incarnation == r.Incarnation
		})
		if c.owner == r.Vm && c.incarnation == r.Incarnation {
			c.owner, c.incarnation = "", 0
			c.lastReadAt = m.now
		}
	}
	if r.Vm == m.config.VM && r.Incarnation == m.config.Incarnation && !m.left {
		m.left = true
		m.emit(StopCompleted{})
	}
}

func (m *Machine) applyAcknowledge(r *recordpb.Acknowledge) {
	c := m.cell(int(r.Cell))
	if c == nil {
		return
	}
	c.dropPredecessors(func(p *recordpb.Predecessor) bool {
		return p.Vm == r.Vm && p.Incarnation == r.Incarnation && p.Term < r.Term
	})
}
