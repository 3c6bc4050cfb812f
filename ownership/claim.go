package ownership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// claim claims the cells that are due.
func (m *Machine) claim() {
	if m.stopping {
		return
	}
	for i := range m.cells {
		c := &m.cells[i]
		if m.owns(c) || c.claim != nil || !m.mayClaim(c) {
			continue
		}
		delay := time.Duration(m.rank(i)) * m.config.ClaimStep
		if m.now >= m.claimableAt(c)+delay {
			m.sendClaim(i)
		}
	}
}

// mayClaim reports whether the rules permit this VM to claim a cell once its
// time has come.
func (m *Machine) mayClaim(c *cell) bool {
	if m.now < c.promisedUntil && !m.config.Unsafe.NoPromiseHold {
		return false
	}
	if c.unsettled && c.known {
		return false
	}
	if c.owner == "" || c.rescue {
		return true
	}
	if m.joined <= c.ownerRead || m.config.Unsafe.NoJoinRule {
		return true
	}
	return m.gone(c.owner, c.incarnation)
}

// claimableAt returns when a cell's time has come. An owner's lease is waited
// for even if its process is known gone: a join record of its VM can be
// delayed in the log, so that the process it names is the older one.
func (m *Machine) claimableAt(c *cell) time.Duration {
	if c.unsettled {
		// An owner that is alive renews within a lease.
		return m.joinedAt + m.config.stretched(m.config.Lease)
	}
	if c.owner == "" || c.rescue {
		return max(c.readAt, m.joinedAt)
	}
	if m.config.Unsafe.NoDriftWait {
		return c.readAt + m.config.Lease
	}
	return c.readAt + m.config.stretched(m.config.Lease)
}

func (m *Machine) sendClaim(number int) {
	c := &m.cells[number]
	m.claims++
	c.claim = &pending{number: m.claims, sentAt: m.now}
	m.emit(Append{Record: &recordpb.Record{Claim: &recordpb.Claim{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Joined:      m.joined,
		Cell:        int32(number),
		Expects:     c.last,
		Rescue:      m.config.Rescuer,
		Number:      m.claims,
	}}})
}

// rescue claims cells whose owners have been silent for so long that every
// task lease they renewed has ended.
func (m *Machine) rescue() {
	m.dropGone()
	for i := range m.cells {
		c := &m.cells[i]
		if m.stopping || m.offset == 0 || (c.owner == "" && !c.unsettled) || m.owns(c) || c.claim != nil {
			continue
		}
		if m.now >= m.rescuableAt(c)+m.rescueDelay(i) {
			m.sendClaim(i)
		}
	}
}

func (m *Machine) rescuableAt(c *cell) time.Duration {
	if c.rescue && m.gone(c.owner, c.incarnation) {
		return c.readAt
	}
	silence := m.config.OfflineLimit + m.config.TaskLease + m.config.Lease
	if c.rescue {
		silence *= 2
	}
	return max(c.readAt, m.firstAt) + m.config.stretched(silence)
}

// rescueDelay spreads the rescue claims of the VMs of other data centres, who
// do not know one another, over 8 claim steps.
func (m *Machine) rescueDelay(number int) time.Duration {
	return time.Duration(score(m.config.VM, number)%8) * m.config.ClaimStep
}

// score is the rendezvous score of a VM for a cell.
func score(vm string, number int) uint64 {
	return xxhash.Sum64String(vm + "\x00" + strconv.Itoa(number))
}
