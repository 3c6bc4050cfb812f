package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// VMTable is the list of VMs. What List returns lags behind Put and Remove. It
// is not safe for concurrent use.
type VMTable struct {
	lag     time.Duration
	present map[string]hostapi.VM
	visible map[string]hostapi.VM
	// changes are those that are not visible yet, in the order of their times.
	changes []vmChange
	frozen  bool
}

// NewVMTable returns a list of vms, visible at once.
func NewVMTable(vms []hostapi.VM, lag time.Duration) *VMTable {
	t := &VMTable{lag: lag, present: make(map[string]hostapi.VM), visible: make(map[string]hostapi.VM)}
	for _, vm := range vms {
		t.present[vm.ID] = vm
		t.visible[vm.ID] = vm
	}
	return t
}

// Current returns a VM as it is now, without the lag.
func (t *VMTable) Current(id string) (hostapi.VM, bool) {
	vm, ok := t.present[id]
	return vm, ok
}

// Put adds or replaces a VM.
func (t *VMTable) Put(now time.Duration, vm hostapi.VM) {
	t.present[vm.ID] = vm
	t.changes = append(t.changes, vmChange{at: now, id: vm.ID, vm: &vm})
}

// Remove takes a VM off the list.
func (t *VMTable) Remove(now time.Duration, id string) {
	delete(t.present, id)
	t.changes = append(t.changes, vmChange{at: now, id: id})
}

// SetFrozen makes List return the same until it is called with false.
func (t *VMTable) SetFrozen(now time.Duration, frozen bool) {
	t.apply(now)
	t.frozen = frozen
}

// List returns the VMs of a data centre, or of all if dataCentre is "", by id,
// as they were one lag ago.
func (t *VMTable) List(now time.Duration, dataCentre string) []hostapi.VM {
	t.apply(now)
	out := make([]hostapi.VM, 0, len(t.visible))
	for _, vm := range t.visible {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b hostapi.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (t *VMTable) apply(now time.Duration) {
	if t.frozen {
		return
	}
	for len(t.changes) > 0 && t.changes[0].at+t.lag <= now {
		change := t.changes[0]
		t.changes = t.changes[1:]
		if change.vm == nil {
			delete(t.visible, change.id)
			continue
		}
		t.visible[change.id] = *change.vm
	}
}
