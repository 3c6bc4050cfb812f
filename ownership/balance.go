package ownership

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// live returns the VMs that have renewed within a lease, are not stopping and
// are not known gone, in ascending order. It includes this VM.
func (m *Machine) live() []string {
	var names []string
	for _, vm := range m.names {
		if vm == m.config.VM || (m.alive(vm) && !m.members[vm].stopping) {
			names = append(names, vm)
		}
	}
	return names
}

func (m *Machine) alive(vm string) bool {
	silent := m.now - m.members[vm].readAt
	return !m.memberGone(vm) && silent < m.config.stretched(m.config.Lease)
}

// owned counts the cells of each VM.
func (m *Machine) owned() map[string]int {
	counts := make(map[string]int)
	for i := range m.cells {
		c := &m.cells[i]
		if c.owner != "" && !c.rescue {
			counts[c.owner]++
		}
		if c.claim != nil && !m.owns(c) {
			counts[m.config.VM]++
		}
	}
	return counts
}

// target is how many cells each of a number of VMs aims for.
func (m *Machine) target(vms int) int {
	return (len(m.cells) + vms - 1) / max(1, vms)
}

// rank returns the place of this VM in the order of claimants of a cell: VMs
// below the target come first, then the rendezvous score decides.
func (m *Machine) rank(number int) int {
	counts := m.owned()
	vms := m.live()
	target := m.target(len(vms))
	slices.SortFunc(vms, func(a, b string) int {
		fullA, fullB := counts[a]/target, counts[b]/target
		return cmp.Or(cmp.Compare(fullA, fullB), cmp.Compare(score(b, number), score(a, number)))
	})
	return slices.Index(vms, m.config.VM)
}

// release hands cells over: all of them on a planned stop, otherwise the
// surplus, one cell at a time.
func (m *Machine) release() {
	if m.stopping {
		for i := range m.cells {
			m.startRelease(i)
		}
		return
	}
	if m.renewal != nil && m.now-m.renewal.sentAt >= m.config.RenewEvery {
		return
	}
	if number, ok := m.surplus(); ok {
		m.startRelease(number)
	}
}

// startRelease asks for a cell to be drained. The receiver of a release doesn't
// wait for the requests of a dead owner, so a cell is not released before
// they have ended.
func (m *Machine) startRelease(number int) {
	c := &m.cells[number]
	if !m.active(c) || c.releasing || m.now < c.waitUntil {
		return
	}
	c.releasing = true
	c.drainAsked = true
	m.emit(Drain{Cell: number})
}

// surplus returns the cell to hand over, if any: the one for which this VM
// has the lowest score, if it has more than the target, or at least two more
// than the VM with the fewest.
func (m *Machine) surplus() (int, bool) {
	chosen, mine := -1, 0
	for i := range m.cells {
		c := &m.cells[i]
		if c.releasing {
			return 0, false
		}
		if !m.active(c) {
			continue
		}
		mine++
		if m.now < c.leaseEnd && m.now >= c.waitUntil && (chosen < 0 || score(m.config.VM, i) < score(m.config.VM, chosen)) {
			chosen = i
		}
	}
	_, fewest, ok := m.receiver(max(0, chosen))
	if chosen < 0 || !ok {
		return 0, false
	}
	return chosen, mine > m.target(len(m.live())) || mine >= fewest+2
}

// receiver returns the other live VM with the fewest cells, the best score
// for the cell deciding between equals, and its number of cells.
func (m *Machine) receiver(number int) (vm string, cells int, ok bool) {
	counts := m.owned()
	others := slices.DeleteFunc(m.live(), func(vm string) bool { return vm == m.config.VM })
	if len(others) == 0 {
		return "", 0, false
	}
	best := slices.MinFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(score(b, number), score(a, number)))
	})
	return best, counts[best], true
}

// cellDrained takes the end of the last request on a cell.
func (m *Machine) cellDrained(number int) {
	c := m.cell(number)
	if c == nil || c.ownTerm == 0 || !c.drainAsked {
		return
	}
	c.drained = true
	if m.active(c) && c.releasing && !c.releaseSent {
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

func (m *Machine) acknowledgement(number int, term int64) *recordpb.Record {
	return &recordpb.Record{Acknowledge: &recordpb.Acknowledge{
		Vm:          m.config.VM,
		Incarnation: m.config.Incarnation,
		Cell:        int32(number),
		Term:        term,
	}}
}
