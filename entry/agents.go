package entry

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/ownership"
)

// agent returns the client of a worker's agent at its listed address.
func (n *Node) agent(worker string) (hostapi.WorkerAgent, bool) {
	vm, ok := n.currentWorkerList.Load().workers[worker]
	if !ok {
		return n.lastAgent(worker)
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

// lastAgent returns the client of a worker that the list no longer names: the
// list lags and the worker may still run attempts.
func (n *Node) lastAgent(worker string) (hostapi.WorkerAgent, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry, ok := n.agents[worker]
	return entry.client, ok
}

// readVMList reads the VM list of this data centre once.
func (n *Node) readVMList(ctx context.Context) {
	sentAt := n.clock()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.LogTimeout)
	defer cancel()
	vms, err := n.vmListClient.List(ctx, n.settings.DataCentre)
	if err != nil {
		return
	}
	list := newWorkerList(vms, sentAt)
	n.currentWorkerList.Store(list)
	if claims := n.claims.Load(); claims != nil {
		claims.send(ownership.VMsListed{VMs: list.entryVMs})
	}
}

// staleAfter is how old the VM list gets before it counts as stale.
const staleAfter = 10 * time.Second

// workerTimeout bounds a call to a worker agent.
func (n *Node) workerTimeout() time.Duration {
	return n.settings.Times.WorkerTimeout
}

// declared returns the newest declared work, nil before the first record.
func (n *Node) declared() *declaredWork {
	return n.currentWork.Load()
}

// listed returns the newest VM list of the data centre.
func (n *Node) listed() *workerList {
	return n.currentWorkerList.Load()
}

// cells returns the number of cells of the data centre; 0 while it is not
// declared.
func (n *Node) cells() int {
	d := n.currentWork.Load()
	if d == nil || !d.known {
		return 0
	}
	return d.dataCentre.Cells
}
