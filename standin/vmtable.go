package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// VMTable is the VM list. The result of List lags behind Put and Remove. It is
// not safe for concurrent use.
type VMTable struct {
	lag     time.Duration
	current map[string]hostapi.VM
	listed  map[string]hostapi.VM
	// pendingChanges are the changes that List does not show yet, ordered by time.
	pendingChanges []vmChange
	frozen         bool
}

// NewVMTable returns a table that lists vms immediately, without the lag.
func NewVMTable(vms []hostapi.VM, lag time.Duration) *VMTable {
	t := &VMTable{lag: lag, current: make(map[string]hostapi.VM), listed: make(map[string]hostapi.VM)}
	for _, vm := range vms {
		t.current[vm.ID] = vm
		t.listed[vm.ID] = vm
	}
	return t
}

// Current returns the current state of a VM, without the lag.
func (t *VMTable) Current(id string) (hostapi.VM, bool) {
	vm, ok := t.current[id]
	return vm, ok
}

// Put adds or replaces a VM.
func (t *VMTable) Put(now time.Duration, vm hostapi.VM) {
	t.current[vm.ID] = vm
	t.pendingChanges = append(t.pendingChanges, vmChange{at: now, id: vm.ID, vm: &vm})
}

// Remove removes a VM.
func (t *VMTable) Remove(now time.Duration, id string) {
	delete(t.current, id)
	t.pendingChanges = append(t.pendingChanges, vmChange{at: now, id: id})
}

// SetFrozen sets whether the result of List is frozen in its current state.
func (t *VMTable) SetFrozen(now time.Duration, frozen bool) {
	t.applyDueChanges(now)
	t.frozen = frozen
}

// List returns the VMs of a data centre, or of all data centres if dataCentre is
// "", as they were before the lag. They are sorted by id.
func (t *VMTable) List(now time.Duration, dataCentre string) []hostapi.VM {
	t.applyDueChanges(now)
	out := make([]hostapi.VM, 0, len(t.listed))
	for _, vm := range t.listed {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b hostapi.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (t *VMTable) applyDueChanges(now time.Duration) {
	if t.frozen {
		return
	}
	for len(t.pendingChanges) > 0 && t.pendingChanges[0].at+t.lag <= now {
		change := t.pendingChanges[0]
		t.pendingChanges = t.pendingChanges[1:]
		if change.vm == nil {
			delete(t.listed, change.id)
			continue
		}
		t.listed[change.id] = *change.vm
	}
}
