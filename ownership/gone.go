package ownership

import (
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// list takes an answer of the VM list.
func (m *Machine) list(e Listed) {
	m.listedAt = m.now
	present := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		present[vm] = true
		delete(m.missingSince, vm)
	}
	for vm := range m.mentioned() {
		if _, already := m.missingSince[vm]; !present[vm] && !already {
			m.missingSince[vm] = m.now
		}
	}
}

// mentioned returns all VMs of which it matters whether they are gone.
func (m *Machine) mentioned() map[string]bool {
	names := make(map[string]bool)
	for vm := range m.members {
		names[vm] = true
	}
	for i := range m.cells {
		if m.cells[i].owner != "" {
			names[m.cells[i].owner] = true
		}
		for _, p := range m.cells[i].predecessors {
			names[p.Vm] = true
		}
	}
	return names
}

// missing reports whether the VM list shows that a VM no longer runs. A record
// of the VM that was read meanwhile restarts the period, since the list lags.
func (m *Machine) missing(vm string) bool {
	since, ok := m.missingSince[vm]
	if !ok {
		return false
	}
	if known := m.members[vm]; known != nil {
		since = max(since, known.readAt)
	}
	return m.listedAt-since >= m.config.stretched(m.config.GoneAfter)
}

// streamGone reports whether the records read show that a process has ended:
// it has left, or its VM has joined again since.
func (m *Machine) streamGone(vm string, incarnation uint64) bool {
	known := m.members[vm]
	if known == nil {
		return false
	}
	if known.incarnation == incarnation {
		return known.left
	}
	return true
}

// gone reports whether a process is known to have ended.
func (m *Machine) gone(vm string, incarnation uint64) bool {
	return m.streamGone(vm, incarnation) || m.missing(vm)
}

// memberGone reports whether the present process of a VM is known to have ended.
func (m *Machine) memberGone(vm string) bool {
	return m.members[vm].left || m.missing(vm)
}

// dropGone removes predecessors that are known gone.
func (m *Machine) dropGone() {
	for i := range m.cells {
		m.cells[i].dropPredecessors(func(p *recordpb.Predecessor) bool {
			return m.gone(p.Vm, p.Incarnation)
		})
	}
}
