package ownership

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// liveVMs returns the VMs whose last record was read within a lease and that are
// neither stopping nor known gone, in ascending order. They include this VM.
func (m *Machine) liveVMs() []string {
	var names []string
	for _, vm := range m.memberNames {
		if vm == m.config.VM || (m.alive(vm) && !m.members[vm].stopping) {
			names = append(names, vm)
		}
	}
	return names
}

func (m *Machine) alive(vm string) bool {
	silent := m.now - m.members[vm].lastReadAt
	return !m.memberGone(vm) && silent < m.config.withDriftMargin(m.config.Lease)
}

// cellCounts returns the number of cells of each VM. This VM's pending claims
// count as owned.
func (m *Machine) cellCounts() map[string]int {
	counts := make(map[string]int)
	for i := range m.cells {
		c := &m.cells[i]
		if c.owner != "" && !c.rescue {
			counts[c.owner]++
		}
		if c.pendingClaim != nil && !m.owns(c) {
			counts[m.config.VM]++
		}
	}
	return counts
}

// targetCells returns the number of cells per VM when they are spread evenly over
// the given number of VMs, rounded up.
func (m *Machine) targetCells(vms int) int {
	return (len(m.cells) + vms - 1) / max(1, vms)
}

// claimRank returns the rank of this VM in the claim order of a cell, from 0: VMs
// below the target come first, then those with the higher rendezvous score.
func (m *Machine) claimRank(number int) int {
	counts := m.cellCounts()
	vms := m.liveVMs()
	target := m.targetCells(len(vms))
	slices.SortFunc(vms, func(a, b string) int {
		fullA, fullB := counts[a]/target, counts[b]/target
		return cmp.Or(cmp.Compare(fullA, fullB), cmp.Compare(rendezvousScore(b, number), rendezvousScore(a, number)))
	})
	return slices.Index(vms, m.config.VM)
}

// releaseCells starts to release cells: all of them on a planned stop, otherwise
// surplus cells, one at a time.
func (m *Machine) releaseCells() {
	if m.stopping {
		for i := range m.cells {
			m.startRelease(i)
		}
		return
	}
	if m.pendingRenewal != nil && m.now-m.pendingRenewal.sentAt >= m.config.RenewEvery {
		return
	}
	if number, ok := m.surplusCell(); ok {
		m.startRelease(number)
	}
}

// startRelease requests that a cell be drained. The receiver of a release doesn't
// wait for the requests of an earlier, failed owner, so a cell is not released
// before these have ended.
func (m *Machine) startRelease(number int) {
	c := &m.cells[number]
	if !m.activeOwner(c) || c.releasing || m.now < c.waitUntil {
		return
	}
	c.releasing = true
	c.drainRequested = true
	m.emit(Drain{Cell: number})
}

// surplusCell returns the cell to release, if any: the one for which this VM has
// the lowest rendezvous score, if it owns more cells than the target, or at least
// two more than the VM with the fewest.
func (m *Machine) surplusCell() (int, bool) {
	chosen, owned := -1, 0
	for i := range m.cells {
		c := &m.cells[i]
		if c.releasing {
			return 0, false
		}
		if !m.activeOwner(c) {
			continue
		}
		owned++
		if m.now < c.leaseEnd && m.now >= c.waitUntil && (chosen < 0 || rendezvousScore(m.config.VM, i) < rendezvousScore(m.config.VM, chosen)) {
			chosen = i
		}
	}
	_, fewest, ok := m.receiver(max(0, chosen))
	if chosen < 0 || !ok {
		return 0, false
	}
	return chosen, owned > m.targetCells(len(m.liveVMs())) || owned >= fewest+2
}

// receiver returns the other live VM with the fewest cells, of those that may receive the cell,
// and its number of cells. Ties go to the higher rendezvous score for the cell. A VM that stops
// releases to any live VM if none may receive the cell. ok is false if there is no receiver.
func (m *Machine) receiver(number int) (vm string, cells int, ok bool) {
	counts := m.cellCounts()
	others := slices.DeleteFunc(m.liveVMs(), func(vm string) bool { return vm == m.config.VM })
	allowed := slices.DeleteFunc(slices.Clone(others), func(vm string) bool { return !m.mayReceive(&m.cells[number], vm) })
	if len(allowed) > 0 || !m.stopping {
		others = allowed
	}
	if len(others) == 0 {
		return "", 0, false
	}
	best := slices.MinFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(rendezvousScore(b, number), rendezvousScore(a, number)))
	})
	return best, counts[best], true
}

// cellDrained handles the end of this VM's last request on a cell.
func (m *Machine) cellDrained(number int) {
	c := m.cell(number)
	if c == nil || c.ownTerm == 0 || !c.drainRequested {
		return
	}
	c.drained = true
	if m.activeOwner(c) && c.releasing && !c.releaseSent {
		m.sendRelease(number)
	}
}

func (m *Machine) sendRelease(number int) {
	c := &m.cells[number]
	to, _, ok := m.receiver(number)
	if !ok && !m.stopping {
		c.clearRelease()
		return
	}
	release := &recordpb.Release{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Cell:        int32(number),
		Term:        c.term,
	}
	if ok {
		release.To = to
		release.ToIncarnation = m.members[to].incarnation
	}
	c.releaseSent = true
	m.emit(Append{Record: &recordpb.Record{Release: release}})
}

func (m *Machine) acknowledgeRecord(number int, term int64) *recordpb.Record {
	return &recordpb.Record{Acknowledge: &recordpb.Acknowledge{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Cell:        int32(number),
		Term:        term,
	}}
}
