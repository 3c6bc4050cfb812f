package ownership

import (
	"time"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// list takes an answer of the VM list.
func (m *Machine) list(e VMsListed) {
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

// process is one run of a VM.
type process struct {
	vm          string
	incarnation uint64
}

// dropGone removes predecessors that are known gone and whose requests have ended.
func (m *Machine) dropGone() {
	since := make(map[process]time.Duration)
	for i := range m.cells {
		m.cells[i].dropPredecessors(func(p *recordpb.Predecessor) bool {
			return m.requestsEnded(process{vm: p.Vm, incarnation: p.Incarnation}, since)
		})
	}
	m.goneSince = since
}

// requestsEnded reports whether no request of a process can run any more. A
// process leaves after its last request. One that is gone for another reason
// can have sent requests until then, which run for a maximum request time.
// The time at which it was first known to be gone is kept in since.
func (m *Machine) requestsEnded(p process, since map[process]time.Duration) bool {
	known := m.members[p.vm]
	if known != nil && known.incarnation == p.incarnation && known.left {
		return true
	}
	if !m.gone(p.vm, p.incarnation) {
		return false
	}
	first, already := m.goneSince[p]
	if !already {
		first = m.now
	}
	since[p] = first
	return m.now >= first+m.config.stretched(m.config.MaxRequest)
}
