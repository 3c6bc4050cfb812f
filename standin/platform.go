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
	options Options
	kinds   *TaskKinds
	started time.Time
	faults  FaultSet
	history *History
	log     *logService
	vms     *vmService
	nodes   []*node
	// endpoints are those of the log and the VM list.
	endpoints []*endpoint
	admin     *endpoint
	addresses Addresses
	// listed are all VMs as they were listed at the start.
	listed  []hostapi.VM
	stopped chan struct{}

	// faultMu makes changes by faults exclusive.
	faultMu sync.Mutex

	closeOnce sync.Once
	closeErr  error
}

// Start starts a stand-in on loopback. The caller must Close it.
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
		options: options,
		started: time.Now(),
		history: NewHistory(),
		stopped: make(chan struct{}),
	}
	p.kinds, err = NewTaskKinds(topology.Kinds, topology.Interference)
	if err != nil {
		return nil, err
	}
	err = p.open(topology)
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	return p, nil
}

// Addresses returns where the stand-in listens.
func (p *Platform) Addresses() Addresses {
	return p.addresses
}

// History returns what the workers and backend servers did up to now.
func (p *Platform) History() HistoryView {
	for _, n := range p.nodes {
		n.update()
	}
	view := p.history.View()
	view.Now = p.now()
	view.Workers = make([]WorkerView, 0, len(p.nodes))
	for _, n := range p.nodes {
		view.Workers = append(view.Workers, n.view())
	}
	return view
}

// Close ends all connections, requests and tasks. Further calls return the
// same.
func (p *Platform) Close() error {
	p.closeOnce.Do(func() { p.closeErr = p.closeAll() })
	return p.closeErr
}

func (p *Platform) closeAll() error {
	close(p.stopped)
	var errs []error
	if p.admin != nil {
		errs = append(errs, p.admin.close())
	}
	for _, e := range p.endpoints {
		errs = append(errs, e.close())
	}
	for _, n := range p.nodes {
		errs = append(errs, n.close())
	}
	return errors.Join(errs...)
}

func (p *Platform) open(topology Topology) error {
	var vms []hostapi.VM
	for _, dc := range topology.DataCentres {
		for i, vm := range dc.workers() {
			n, err := newNode(p, vm, len(p.nodes), dc.drift(i))
			if err != nil {
				return err
			}
			p.nodes = append(p.nodes, n)
			vms = append(vms, n.vm)
		}
	}
	p.addresses = Addresses{Log: make(map[string]string), VMs: make(map[string]string), Workers: vms}
	for _, dc := range topology.DataCentres {
		vms = append(vms, dc.entries()...)
	}
	p.listed = vms
	p.log = newLogService(p)
	p.vms = &vmService{platform: p, table: NewVMTable(vms, p.options.VMListLag)}
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
	logEndpoint := newEndpoint([]string{"log/" + name, "log"}, &p.faults, httpapi.NewLogHandler(p.log))
	err := logEndpoint.listen(cmp.Or(dc.LogAddress, p.options.listenAddress()))
	if err != nil {
		return err
	}
	p.endpoints = append(p.endpoints, logEndpoint)
	p.addresses.Log[name] = logEndpoint.address
	listEndpoint := newEndpoint([]string{"vms/" + name, "vms"}, &p.faults, httpapi.NewVMListHandler(p.vms))
	err = listEndpoint.listen(cmp.Or(dc.VMsAddress, p.options.listenAddress()))
	if err != nil {
		return err
	}
	p.endpoints = append(p.endpoints, listEndpoint)
	p.addresses.VMs[name] = listEndpoint.address
	return nil
}

// now returns the time since the stand-in started.
func (p *Platform) now() time.Duration {
	return time.Since(p.started)
}

// wait waits for d or until the stand-in stops.
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
