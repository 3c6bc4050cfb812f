package standin

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// Platform is a running stand-in.
type Platform struct {
	options    Options
	taskKinds  *TaskKinds
	startedAt  time.Time
	faults     FaultSet
	history    *History
	logService *logService
	vmService  *vmService
	nodes      []*node
	// serviceEndpoints are the endpoints of the log and of the VM list.
	serviceEndpoints []*endpoint
	adminEndpoint    *endpoint
	addresses        Addresses
	// initialVMs is the VM list at the start.
	initialVMs []hostapi.VM
	stopped    chan struct{}

	// faultMu serialises SetFault.
	faultMu sync.Mutex

	closeOnce sync.Once
	closeErr  error
}

// Start starts a stand-in on a loopback address. The caller must close it with
// Close.
func Start(topology Topology, options Options) (*Platform, error) {
	err := topology.check()
	if err != nil {
		return nil, err
	}
	for _, address := range []string{options.listenAddress(), cmp.Or(options.AdminAddress, options.listenAddress())} {
		err = checkLoopback(address)
		if err != nil {
			return nil, err
		}
	}
	p := &Platform{
		options:   options,
		startedAt: time.Now(),
		history:   NewHistory(),
		stopped:   make(chan struct{}),
	}
	p.taskKinds, err = NewTaskKinds(topology.Kinds, topology.Interference)
	if err != nil {
		return nil, err
	}
	err = p.openEndpoints(topology)
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

// Addresses returns the listen addresses.
func (p *Platform) Addresses() Addresses {
	return p.addresses
}

// History returns the history of the workers and backend servers up to now.
func (p *Platform) History() HistoryView {
	for _, n := range p.nodes {
		n.flushEvents()
	}
	view := p.history.View()
	view.Now = p.now()
	view.Workers = make([]WorkerView, 0, len(p.nodes))
	for _, n := range p.nodes {
		view.Workers = append(view.Workers, n.view())
	}
	return view
}

// Close stops the stand-in with all its connections, requests and tasks. Further
// calls return the same error.
func (p *Platform) Close() error {
	p.closeOnce.Do(func() { p.closeErr = p.closeAll() })
	return p.closeErr
}

func (p *Platform) closeAll() error {
	close(p.stopped)
	var errs []error
	if p.adminEndpoint != nil {
		errs = append(errs, p.adminEndpoint.close())
	}
	for _, e := range p.serviceEndpoints {
		errs = append(errs, e.close())
	}
	for _, n := range p.nodes {
		errs = append(errs, n.close())
	}
	return errors.Join(errs...)
}

func (p *Platform) openEndpoints(topology Topology) error {
	var vms []hostapi.VM
	for _, dc := range topology.DataCentres {
		for i, vm := range dc.workerVMs() {
			n, err := newNode(p, vm, len(p.nodes), dc.clockDrift(i))
			if err != nil {
				return err
			}
			p.nodes = append(p.nodes, n)
			vms = append(vms, n.vm)
		}
	}
	p.addresses = Addresses{Log: make(map[string]string), VMs: make(map[string]string), Workers: vms}
	for _, dc := range topology.DataCentres {
		vms = append(vms, dc.entryVMs()...)
	}
	p.initialVMs = vms
	p.logService = newLogService(p)
	p.vmService = &vmService{platform: p, table: NewVMTable(vms, p.options.VMListLag)}
	for _, dc := range topology.DataCentres {
		err := p.openDataCentre(dc)
		if err != nil {
			return err
		}
	}
	return p.openAdmin()
}

// openDataCentre opens the log and the VM list for one data centre.
func (p *Platform) openDataCentre(dc DataCentre) error {
	name := dc.Name
	logEndpoint := newEndpoint([]string{"log/" + name, "log"}, &p.faults, httpapi.NewLogHandler(p.logService))
	err := logEndpoint.listen(cmp.Or(dc.LogAddress, p.options.listenAddress()))
	if err != nil {
		return err
	}
	p.serviceEndpoints = append(p.serviceEndpoints, logEndpoint)
	p.addresses.Log[name] = logEndpoint.address
	listEndpoint := newEndpoint([]string{"vms/" + name, "vms"}, &p.faults, httpapi.NewVMListHandler(p.vmService))
	err = listEndpoint.listen(cmp.Or(dc.VMsAddress, p.options.listenAddress()))
	if err != nil {
		return err
	}
	p.serviceEndpoints = append(p.serviceEndpoints, listEndpoint)
	p.addresses.VMs[name] = listEndpoint.address
	return nil
}

// now returns the time since the stand-in started.
func (p *Platform) now() time.Duration {
	return time.Since(p.startedAt)
}

// wait waits for d or until the stand-in is closed.
func (p *Platform) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.stopped:
	case <-timer.C:
	}
}

func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !parsed.Addr().Is4() || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s is not an IPv4 loopback address", parsed.Addr())
	}
	return nil
}
