package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/tasks"
)

// vmList is an immutable copy of the VM list of this VM's data centre.
type vmList struct {
	// readAt is when the read was sent, on the local clock, or 0 if there was
	// none.
	readAt  time.Duration
	workers map[string]hostapi.VM
	// entryVMs holds the ids of the listed entry VMs.
	entryVMs []string
}

func newVMList(vms []hostapi.VM, readAt time.Duration) *vmList {
	l := &vmList{readAt: readAt, workers: make(map[string]hostapi.VM)}
	for _, vm := range vms {
		switch vm.Role {
		case hostapi.RoleWorker:
			l.workers[vm.ID] = vm
		case hostapi.RoleEntry:
			l.entryVMs = append(l.entryVMs, vm.ID)
		}
	}
	return l
}

func (l *vmList) workersOfCell(index, cells int) []tasks.Worker {
	var list []tasks.Worker
	for id, vm := range l.workers {
		if tasks.CellOf(id, cells) != index {
			continue
		}
		list = append(list, tasks.Worker{ID: id, Leaving: vm.State == hostapi.VMLeaving, Capacity: vm.Capacity})
	}
	return list
}
