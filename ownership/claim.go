package ownership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// claimDueCells claims every cell that this VM may claim and whose claim delay
// has passed.
func (m *Machine) claimDueCells() {
	if m.stopping {
		return
	}
	for i := range m.cells {
		c := &m.cells[i]
		if m.owns(c) || c.pendingClaim != nil || !m.mayClaim(c) {
			continue
		}
		delay := time.Duration(m.claimRank(i)) * m.config.ClaimStep
		if m.now >= m.claimableAt(c)+delay {
			m.sendClaim(i)
		}
	}
}

// mayClaim reports whether this VM is permitted to claim a cell once the time of
// claimableAt has come.
func (m *Machine) mayClaim(c *cell) bool {
	if m.now < c.promisedUntil && !m.config.Unsafe.NoPromiseHold {
		return false
	}
	if c.ownerUnresolved && c.termKnown {
		return false
	}
	if c.owner == "" || c.rescue {
		return true
	}
	if m.joinOffset <= c.ownerReadOffset || m.config.Unsafe.NoJoinRule {
		return true
	}
	return m.knownGone(c.owner, c.incarnation)
}

// claimableAt returns the earliest local time of a claim, before the delay by
// rank. The owner's lease must expire even if its process is known gone: a join
// record of its VM can be delayed in the log, and may then belong to an older
// process than the owner.
func (m *Machine) claimableAt(c *cell) time.Duration {
	if c.ownerUnresolved {
		// A live owner renews within a lease.
		return m.joinReadAt + m.config.withDriftMargin(m.config.Lease)
	}
	if c.owner == "" || c.rescue {
		return max(c.lastReadAt, m.joinReadAt)
	}
	if m.config.Unsafe.NoDriftWait {
		return c.lastReadAt + m.config.Lease
	}
	return c.lastReadAt + m.config.withDriftMargin(m.config.Lease)
}

func (m *Machine) sendClaim(number int) {
	c := &m.cells[number]
	m.claimCount++
	c.pendingClaim = &pendingRecord{number: m.claimCount, sentAt: m.now}
	m.emit(Append{Record: &recordpb.Record{Claim: &recordpb.Claim{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Joined:      m.joinOffset,
		Cell:        int32(number),
		Expects:     c.lastAccepted,
		Rescue:      m.config.Rescuer,
		Number:      m.claimCount,
	}}})
}

// rescueDueCells claims the cells whose owners have been silent for so long that
// every task lease they renewed has expired.
func (m *Machine) rescueDueCells() {
	m.dropGonePredecessors()
	for i := range m.cells {
		c := &m.cells[i]
		if m.stopping || m.lastOffset == 0 || (c.owner == "" && !c.ownerUnresolved) || m.owns(c) || c.pendingClaim != nil {
			continue
		}
		if m.now >= m.rescuableAt(c)+m.rescueDelay(i) {
			m.sendClaim(i)
		}
	}
}

func (m *Machine) rescuableAt(c *cell) time.Duration {
	if c.rescue && m.knownGone(c.owner, c.incarnation) {
		return c.lastReadAt
	}
	silence := m.config.OfflineLimit + m.config.TaskLease + m.config.Lease
	if c.rescue {
		silence *= 2
	}
	return max(c.lastReadAt, m.firstReadAt) + m.config.withDriftMargin(silence)
}

// rescueDelay spreads the rescue claims of VMs of other data centres over 8 claim
// steps. These VMs don't coordinate with one another.
func (m *Machine) rescueDelay(number int) time.Duration {
	return time.Duration(rendezvousScore(m.config.VM, number)%8) * m.config.ClaimStep
}

// rendezvousScore returns the rendezvous hashing score of a VM for a cell.
func rendezvousScore(vm string, number int) uint64 {
	return xxhash.Sum64String(vm + "\x00" + strconv.Itoa(number))
}
