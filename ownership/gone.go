package ownership

import (
	"time"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// applyVMList updates the missing VMs from a response of the VM list.
func (m *Machine) applyVMList(e VMsListed) {
	m.listedAt = m.now
	present := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		present[vm] = true
		delete(m.missingSince, vm)
	}
	for vm := range m.relevantVMs() {
		if _, already := m.missingSince[vm]; !present[vm] && !already {
			m.missingSince[vm] = m.now
		}
	}
}

// relevantVMs returns the VMs that have to be checked against the VM list: all
// members, owners and predecessors.
func (m *Machine) relevantVMs() map[string]bool {
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

// goneByVMList reports whether a VM has been missing from the VM list for
// GoneAfter. Reading a record of the VM restarts the period, since the list lags.
func (m *Machine) goneByVMList(vm string) bool {
	since, ok := m.missingSince[vm]
	if !ok {
		return false
	}
	if current := m.members[vm]; current != nil {
		since = max(since, current.lastReadAt)
	}
	return m.listedAt-since >= m.config.withDriftMargin(m.config.GoneAfter)
}

// goneByRecords reports whether the records read show that a process has ended:
// it has left, or another process is the member of its VM.
func (m *Machine) goneByRecords(vm string, incarnation uint64) bool {
	current := m.members[vm]
	if current == nil {
		return false
	}
	if current.incarnation == incarnation {
		return current.left
	}
	return true
}

// knownGone reports whether a process is known to have ended.
func (m *Machine) knownGone(vm string, incarnation uint64) bool {
	return m.goneByRecords(vm, incarnation) || m.goneByVMList(vm)
}

// memberGone reports whether the current process of a VM is known to have ended.
func (m *Machine) memberGone(vm string) bool {
	return m.members[vm].left || m.goneByVMList(vm)
}

// process is one incarnation of an entry VM's process.
type process struct {
	vm          string
	incarnation uint64
}

// dropGonePredecessors removes the predecessors that are known gone and whose
// requests have ended.
func (m *Machine) dropGonePredecessors() {
	since := make(map[process]time.Duration)
	for i := range m.cells {
		m.cells[i].dropPredecessors(func(p *recordpb.Predecessor) bool {
			return m.requestsEnded(process{vm: p.Vm, incarnation: p.Incarnation}, since)
		})
	}
	m.goneSince = since
}

// requestsEnded reports whether no request of a process can still be running. A
// process leaves only after its last request has ended. One that is gone for
// another reason may have sent requests until then, which can run for MaxRequest.
// requestsEnded stores in since when the process was first known to be gone.
func (m *Machine) requestsEnded(p process, since map[process]time.Duration) bool {
	current := m.members[p.vm]
	if current != nil && current.incarnation == p.incarnation && current.left {
		return true
	}
	if !m.knownGone(p.vm, p.incarnation) {
		return false
	}
	first, already := m.goneSince[p]
	if !already {
		first = m.now
	}
	since[p] = first
	return m.now >= first+m.config.withDriftMargin(m.config.MaxRequest)
}
