package standin

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// node is one worker VM: the simulated worker with a real clock, its agent and
// its backend server.
type node struct {
	platform        *Platform
	vm              hostapi.VM
	drift           float64
	agentEndpoint   *endpoint
	backendEndpoint *endpoint
	backend         *backend

	mu     sync.Mutex
	worker *Worker
	boots  int
	boot   string
	down   bool
	// booted is the time of the last boot since the stand-in started.
	booted time.Duration
	// clockAtBoot is the worker's clock at that time. It is another one for
	// each worker, so that a mix-up of clocks shows.
	clockAtBoot time.Duration
}

// newNode boots a worker and opens its endpoints. vm has no addresses yet.
func newNode(p *Platform, vm hostapi.VM, number int, drift float64) (*node, error) {
	n := &node{platform: p, vm: vm, drift: drift, clockAtBoot: time.Duration(number+1) * time.Hour}
	n.backend = &backend{node: n}
	n.bootWorker()
	group := []string{"worker/" + vm.ID, "rack/" + vm.Rack, "workers/" + vm.DataCentre}
	targets := append([]string{"agent/" + vm.ID, "agent"}, group...)
	n.agentEndpoint = newEndpoint(targets, &p.faults, httpapi.NewWorkerAgentHandler(&agent{node: n}))
	err := n.agentEndpoint.listen(p.options.listenAddress())
	if err != nil {
		return nil, err
	}
	n.vm.AgentAddress = n.agentEndpoint.address
	targets = append([]string{"backend/" + vm.ID, "backend"}, group...)
	n.backendEndpoint = newEndpoint(targets, &p.faults, n.backend)
	n.backendEndpoint.limit = vm.Connections
	n.backendEndpoint.opened = func() int { return p.history.BeginConnection(vm.ID, p.now()) }
	n.backendEndpoint.closed = func(number int) { p.history.EndConnection(number, p.now()) }
	err = n.backendEndpoint.listen(p.options.listenAddress())
	if err != nil {
		return nil, errors.Join(err, n.agentEndpoint.close())
	}
	n.vm.BackendAddress = n.backendEndpoint.address
	return n, nil
}

// bootWorker starts the worker anew with another boot id.
func (n *node) bootWorker() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boots++
	n.boot = fmt.Sprintf("%s-boot-%d", n.vm.ID, n.boots)
	n.booted = n.platform.now()
	n.worker = NewWorker(WorkerConfig{
		ID:            n.vm.ID,
		Boot:          n.boot,
		Capacity:      n.vm.Capacity,
		UsageInterval: n.platform.options.UsageInterval,
		UsageLag:      n.platform.options.UsageLag,
		TaskKinds:     n.platform.kinds,
	}, n.clockAtBoot)
	n.backend.boot()
	n.down = false
	n.platform.history.AddWorkerEvent(WorkerEvent{At: n.booted, Worker: n.vm.ID, Change: WorkerUp})
}

// lock returns the worker, the present time on its clock, and a function that
// records what happened and unlocks.
func (n *node) lock() (*Worker, time.Duration, func()) {
	n.mu.Lock()
	now := n.workerClock(n.platform.now())
	return n.worker, now, func() {
		n.record(now)
		n.mu.Unlock()
	}
}

func (n *node) workerClock(at time.Duration) time.Duration {
	return n.clockAtBoot + time.Duration(float64(at-n.booted)*(1+n.drift))
}

func (n *node) platformClock(worker time.Duration) time.Duration {
	return n.booted + time.Duration(float64(worker-n.clockAtBoot)/(1+n.drift))
}

// record moves the worker's events to the history. The caller holds mu.
func (n *node) record(now time.Duration) {
	if n.down {
		return
	}
	for _, e := range n.worker.DrainEvents(now) {
		n.platform.history.AddAttemptEvent(n.vm.ID, n.vm.DataCentre, n.boot, n.platformClock(e.At), e)
	}
}

// update records all that has happened up to now.
func (n *node) update() {
	_, _, unlock := n.lock()
	unlock()
}

func (n *node) serviceSlowdown() float64 {
	w, now, unlock := n.lock()
	defer unlock()
	return w.ServiceSlowdown(now)
}

// setFailing makes attempts that start from now on fail, or ends that.
func (n *node) setFailing(failing bool) {
	w, now, unlock := n.lock()
	defer unlock()
	w.SetFailing(now, failing)
}

// setDown stops the worker and closes its endpoints, or boots it again. It
// reports whether anything changed. Calls must not overlap.
func (n *node) setDown(down bool) (bool, error) {
	if n.isDown() == down {
		return false, nil
	}
	if down {
		n.crash()
	} else {
		n.bootWorker()
	}
	return true, errors.Join(n.agentEndpoint.setDown(down), n.backendEndpoint.setDown(down))
}

func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.workerClock(n.platform.now())
	n.worker.Crash(now)
	n.record(now)
	n.backend.crash()
	// The time is taken last: no request begins after it.
	n.platform.history.AddWorkerEvent(WorkerEvent{At: n.platform.now(), Worker: n.vm.ID, Change: WorkerDown})
	n.down = true
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// view returns what the history tells about the worker itself.
func (n *node) view() WorkerView {
	open, highest, refused := n.backendEndpoint.connCounts()
	return WorkerView{
		Worker:             n.vm.ID,
		DataCentre:         n.vm.DataCentre,
		Rack:               n.vm.Rack,
		Capacity:           n.vm.Capacity,
		Slots:              n.vm.Slots,
		ConnectionLimit:    n.vm.Connections,
		Connections:        open,
		MaxConnections:     highest,
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
