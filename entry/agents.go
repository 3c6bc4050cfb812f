package entry

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/ownership"
)

// workerAgent returns the client of a worker's agent at its listed address. For
// a worker that is not listed it returns the last client used.
func (n *Node) workerAgent(worker string) (hostapi.WorkerAgent, bool) {
	vm, ok := n.currentVMList.Load().workers[worker]
	if !ok {
		return n.cachedAgent(worker)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.agents[worker]
	if entry.address != vm.AgentAddress {
		entry = agentEntry{address: vm.AgentAddress, client: httpapi.NewWorkerAgentClient(vm.AgentAddress, n.httpClient)}
		n.agents[worker] = entry
	}
	return entry.client, true
}

// cachedAgent returns the last client of a worker that is no longer listed: the
// VM list lags, and the worker may still run attempts.
func (n *Node) cachedAgent(worker string) (hostapi.WorkerAgent, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry, ok := n.agents[worker]
	return entry.client, ok
}

// readVMList reads the VM list of this data centre once and keeps the last list
// if the read fails.
func (n *Node) readVMList(ctx context.Context) {
	sentAt := n.clock()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.LogTimeout)
	defer cancel()
	vms, err := n.vmListClient.List(ctx, n.settings.DataCentre)
	if err != nil {
		return
	}
	list := newVMList(vms, sentAt)
	n.currentVMList.Store(list)
	if claims := n.claims.Load(); claims != nil {
		claims.send(ownership.VMsListed{VMs: list.entryVMs})
	}
}

// vmListStaleAfter is the age from which the VM list is reported as stale.
const vmListStaleAfter = 10 * time.Second

// workerTimeout returns the timeout of a call to a worker agent.
func (n *Node) workerTimeout() time.Duration {
	return n.settings.Times.WorkerTimeout
}

// declaredWork returns the newest declared work, or nil before the first
// record.
func (n *Node) declaredWork() *declaredWork {
	return n.currentWork.Load()
}

// vmList returns the newest VM list of the data centre.
func (n *Node) vmList() *vmList {
	return n.currentVMList.Load()
}

// cellCount returns the number of cells of the data centre, or 0 while it is
// not declared.
func (n *Node) cellCount() int {
	d := n.currentWork.Load()
	if d == nil || !d.dataCentreDeclared {
		return 0
	}
	return d.dataCentre.Cells
}
