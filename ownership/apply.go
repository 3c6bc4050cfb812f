package ownership

import (
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// apply takes one record. Repeated records are not filtered: a reader that
// starts in the middle of the stream can't know the earlier copy, and all
// readers must agree. A repeated record is harmless because claims, releases
// and renewals name the term or offset that they refer to.
func (m *Machine) apply(e Applied) {
	if m.first == 0 {
		m.startReading(e.Offset)
	}
	m.offset = e.Offset
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
	known := m.members[r.Vm]
	if known != nil && known.incarnation == r.Incarnation {
		return
	}
	m.setMember(r.Vm, &member{incarnation: r.Incarnation, joined: m.offset, readAt: m.now})
	if m.config.Rescuer || r.Vm != m.config.VM {
		return
	}
	switch {
	case r.Incarnation == m.config.Incarnation && m.joined == 0:
		m.joined, m.joinedAt = m.offset, m.now
	case m.joinSent && m.joined != 0 && !m.superseded:
		m.superseded = true
		m.emit(Superseded{})
	}
}

// see updates the member that wrote a record which repeats its join offset.
func (m *Machine) see(vm string, incarnation uint64, joined int64) {
	known := m.members[vm]
	if known == nil || known.joined < joined {
		known = &member{incarnation: incarnation, joined: joined}
		m.setMember(vm, known)
	}
	if known.incarnation == incarnation {
		known.readAt = m.now
	}
}

func (m *Machine) applyRenew(r *recordpb.Renew) {
	m.see(r.Vm, r.Incarnation, r.Joined)
	if known := m.members[r.Vm]; known.incarnation == r.Incarnation {
		known.stopping = known.stopping || r.Stopping
	}
	own := r.Vm == m.config.VM && r.Incarnation == m.config.Incarnation
	awaited := own && m.renewal != nil && m.renewal.number == r.Number
	for _, held := range r.Cells {
		c := m.cell(int(held.Cell))
		if c == nil {
			continue
		}
		m.settle(c, r, held)
		if c.owner != r.Vm || c.incarnation != r.Incarnation || c.term != held.Term {
			continue
		}
		c.touch(m.offset, m.now)
		c.ownerRead = max(c.ownerRead, r.Read)
		if !own {
			c.predecessors = held.Predecessors
		}
		if awaited {
			c.leaseEnd = max(c.leaseEnd, m.renewal.sentAt+m.config.Lease)
		}
	}
	if awaited {
		m.renewal = nil
	}
}

func (m *Machine) applyClaim(r *recordpb.Claim) {
	if !r.Rescue {
		m.see(r.Vm, r.Incarnation, r.Joined)
	}
	c := m.cell(int(r.Cell))
	if c == nil {
		return
	}
	own := r.Vm == m.config.VM && r.Incarnation == m.config.Incarnation
	awaited := own && c.claim != nil && c.claim.number == r.Number
	accepted := m.expected(c, r.Expects)
	if c.unsettled {
		c.candidate = m.offset
	}
	if accepted {
		m.acceptClaim(c, r, awaited)
	}
	if awaited {
		c.claim = nil
	}
}

func (m *Machine) acceptClaim(c *cell, r *recordpb.Claim, awaited bool) {
	replaced := c.owner != "" && !c.rescue
	if replaced && !m.streamGone(c.owner, c.incarnation) {
		c.addPredecessor(false)
	}
	m.loseTo(c, m.offset)
	c.setOwner(r.Vm, r.Incarnation, m.offset, m.now)
	c.rescue = r.Rescue
	c.dropPredecessors(func(p *recordpb.Predecessor) bool {
		return p.Vm == r.Vm && p.Incarnation == r.Incarnation
	})
	if !m.owns(c) {
		return
	}
	c.begin()
	if awaited {
		c.leaseEnd = c.claim.sentAt + m.config.Lease
	}
	if replaced && !m.config.Unsafe.NoSlotWait {
		c.waitUntil = m.now + m.config.stretched(m.config.MaxRequest)
	}
}

func (m *Machine) applyRelease(r *recordpb.Release) {
	c := m.cell(int(r.Cell))
	if c == nil {
		return
	}
	if c.unsettled {
		c.candidate = m.offset
	}
	if c.owner != r.Vm || c.incarnation != r.Incarnation || c.term != r.Term {
		return
	}
	own := m.owns(c)
	c.addPredecessor(true)
	c.setOwner(r.To, r.ToIncarnation, m.offset, m.now)
	if to := m.members[r.To]; to != nil && to.incarnation == r.ToIncarnation && to.left {
		// The receiver's leave record came first: the cell has no owner.
		c.owner, c.incarnation = "", 0
	}
	c.dropPredecessors(func(p *recordpb.Predecessor) bool {
		return p.Vm == r.To && p.Incarnation == r.ToIncarnation
	})
	if own {
		c.end()
		m.emit(Append{Record: m.acknowledgement(int(r.Cell), m.offset)})
	}
	if m.owns(c) {
		c.begin()
	}
}

func (m *Machine) applyLeave(r *recordpb.Leave) {
	known := m.members[r.Vm]
	if known != nil && known.incarnation == r.Incarnation {
		known.left = true
	}
	for i := range m.cells {
		c := &m.cells[i]
		c.dropPredecessors(func(p *recordpb.Predecessor) bool {
			return p.Vm == r.Vm && p.Incarnation == r.Incarnation
		})
		if c.owner == r.Vm && c.incarnation == r.Incarnation {
			c.owner, c.incarnation = "", 0
			c.readAt = m.now
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
