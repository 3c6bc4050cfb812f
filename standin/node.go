package standin

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// node is a worker VM: the simulated worker with a real clock, its worker agent
// and its backend server.
type node struct {
	platform        *Platform
	vm              hostapi.VM
	drift           float64
	agentEndpoint   *endpoint
	backendEndpoint *endpoint
	backend         *backend

	mu        sync.Mutex
	worker    *Worker
	bootCount int
	bootID    string
	down      bool
	// bootedAt is the time of the last boot, as a duration since the stand-in
	// started.
	bootedAt time.Duration
	// clockAtBoot is the worker's clock at bootedAt. It differs between workers
	// so that code that confuses their clocks fails visibly.
	clockAtBoot time.Duration
}

// newNode boots a worker and opens its endpoints. The addresses of vm are unset;
// newNode sets them in the node's copy.
func newNode(p *Platform, vm hostapi.VM, index int, drift float64) (*node, error) {
	n := &node{platform: p, vm: vm, drift: drift, clockAtBoot: time.Duration(index+1) * time.Hour}
	n.backend = &backend{node: n}
	n.startWorker()
	workerTargets := []string{"worker/" + vm.ID, "rack/" + vm.Rack, "workers/" + vm.DataCentre}
	targets := append([]string{"agent/" + vm.ID, "agent"}, workerTargets...)
	n.agentEndpoint = newEndpoint(targets, &p.faults, httpapi.NewWorkerAgentHandler(&agent{node: n}))
	err := n.agentEndpoint.listen(p.options.listenAddress())
	if err != nil {
		return nil, err
	}
	n.vm.AgentAddress = n.agentEndpoint.address
	targets = append([]string{"backend/" + vm.ID, "backend"}, workerTargets...)
	n.backendEndpoint = newEndpoint(targets, &p.faults, n.backend)
	n.backendEndpoint.connLimit = vm.Connections
	n.backendEndpoint.onConnOpened = func() int { return p.history.BeginConnection(vm.ID, p.now()) }
	n.backendEndpoint.onConnClosed = func(index int) { p.history.EndConnection(index, p.now()) }
	err = n.backendEndpoint.listen(p.options.listenAddress())
	if err != nil {
		return nil, errors.Join(err, n.agentEndpoint.close())
	}
	n.vm.BackendAddress = n.backendEndpoint.address
	return n, nil
}

// startWorker boots the worker with empty state and a new boot id.
func (n *node) startWorker() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bootCount++
	n.bootID = fmt.Sprintf("%s-boot-%d", n.vm.ID, n.bootCount)
	n.bootedAt = n.platform.now()
	n.worker = NewWorker(WorkerConfig{
		ID:            n.vm.ID,
		Boot:          n.bootID,
		Capacity:      n.vm.Capacity,
		UsageInterval: n.platform.options.UsageInterval,
		UsageLag:      n.platform.options.UsageLag,
		TaskKinds:     n.platform.taskKinds,
	}, n.clockAtBoot)
	n.backend.boot()
	n.down = false
	n.platform.history.AddWorkerEvent(WorkerEvent{At: n.bootedAt, Worker: n.vm.ID, Change: WorkerUp})
}

// lock locks the node and returns the worker, the current time on its clock, and
// a function that records the worker's new events and unlocks the node.
func (n *node) lock() (*Worker, time.Duration, func()) {
	n.mu.Lock()
	now := n.workerTime(n.platform.now())
	return n.worker, now, func() {
		n.recordEvents(now)
		n.mu.Unlock()
	}
}

// workerTime converts a duration since the stand-in started to the worker's clock.
func (n *node) workerTime(at time.Duration) time.Duration {
	return n.clockAtBoot + time.Duration(float64(at-n.bootedAt)*(1+n.drift))
}

// platformTime is the inverse of workerTime.
func (n *node) platformTime(worker time.Duration) time.Duration {
	return n.bootedAt + time.Duration(float64(worker-n.clockAtBoot)/(1+n.drift))
}

// recordEvents moves the worker's events up to now to the history. The caller
// must hold n.mu.
func (n *node) recordEvents(now time.Duration) {
	if n.down {
		return
	}
	for _, e := range n.worker.DrainEvents(now) {
		n.platform.history.AddAttemptEvent(n.vm.ID, n.vm.DataCentre, n.bootID, n.platformTime(e.At), e)
	}
}

// flushEvents records all events of the worker up to the current time.
func (n *node) flushEvents() {
	_, _, unlock := n.lock()
	unlock()
}

func (n *node) serviceSlowdown() float64 {
	w, now, unlock := n.lock()
	defer unlock()
	return w.ServiceSlowdown(now)
}

// setFailing sets whether attempts that start from now on fail.
func (n *node) setFailing(failing bool) {
	w, now, unlock := n.lock()
	defer unlock()
	w.SetFailing(now, failing)
}

// setDown stops the worker and closes its endpoints, or boots the worker and
// opens them again. It reports whether the state changed. Calls must not be
// concurrent.
func (n *node) setDown(down bool) (bool, error) {
	if n.isDown() == down {
		return false, nil
	}
	if down {
		n.crash()
	} else {
		n.startWorker()
	}
	return true, errors.Join(n.agentEndpoint.setDown(down), n.backendEndpoint.setDown(down))
}

func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.workerTime(n.platform.now())
	n.worker.Crash(now)
	n.recordEvents(now)
	n.backend.crash()
	// The time is read after the crash, so that no request starts after it.
	n.platform.history.AddWorkerEvent(WorkerEvent{At: n.platform.now(), Worker: n.vm.ID, Change: WorkerDown})
	n.down = true
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// view returns the worker's entry in the history.
func (n *node) view() WorkerView {
	open, peak, refused := n.backendEndpoint.connCounts()
	return WorkerView{
		Worker:             n.vm.ID,
		DataCentre:         n.vm.DataCentre,
		Rack:               n.vm.Rack,
		Capacity:           n.vm.Capacity,
		Slots:              n.vm.Slots,
		ConnectionLimit:    n.vm.Connections,
		Connections:        open,
		MaxConnections:     peak,
		RefusedConnections: refused,
		Down:               n.isDown(),
	}
}

func (n *node) close() error {
	if !n.isDown() {
		n.crash()
	}
	return errors.Join(n.agentEndpoint.close(), n.backendEndpoint.close())
}
