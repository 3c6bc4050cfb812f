package standin

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	streamTargetPrefix = "stream/"
	vmTargetPrefix     = "vm/"
	vmListTarget       = "vms"
)

// SetFault switches a fault on or off. On an error with code BadResource or
// NotFound nothing has changed.
func (p *Platform) SetFault(f Fault) error {
	err := f.Check()
	if err != nil {
		return err
	}
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	if slices.Contains(requestFaults, f.Kind) {
		err = p.setRequestFault(f)
	} else {
		err = p.setStateFault(f)
	}
	if err != nil {
		return err
	}
	p.history.AddFaultEvent(FaultEvent{At: p.now(), Fault: f})
	return nil
}

func (p *Platform) setRequestFault(f Fault) error {
	var matched []*endpoint
	for _, e := range p.allEndpoints() {
		if slices.Contains(e.targets, f.Target) {
			matched = append(matched, e)
		}
	}
	if len(matched) == 0 {
		return errNoTarget(f)
	}
	if f.Kind == FaultFrozen && f.Count == 0 && !f.Off {
		for _, e := range matched {
			e.freeze()
		}
		return nil
	}
	if f.Kind != FaultDown || f.Count > 0 {
		p.faults.Set(f)
		return nil
	}
	p.faults.Set(Fault{Kind: f.Kind, Target: f.Target, Off: true})
	return p.setEndpointsDown(matched, !f.Off)
}

// setEndpointsDown closes or reopens endpoints. It skips the endpoints of workers
// that are down.
func (p *Platform) setEndpointsDown(endpoints []*endpoint, down bool) error {
	var errs []error
	for _, e := range endpoints {
		n := p.nodeOf(e)
		if n == nil || !n.isDown() {
			errs = append(errs, e.setDown(down))
		}
	}
	return errors.Join(errs...)
}

func (p *Platform) setStateFault(f Fault) error {
	name, isStream := strings.CutPrefix(f.Target, streamTargetPrefix)
	id, isVM := strings.CutPrefix(f.Target, vmTargetPrefix)
	switch {
	case f.Kind == FaultTruncated && isStream && !f.Off:
		p.logService.truncate(name, f.First)
		return nil
	case f.Kind == FaultLagging && f.Target == vmListTarget:
		p.vmService.withTable(func(now time.Duration, table *VMTable) { table.SetFrozen(now, !f.Off) })
		return nil
	case f.Kind == FaultGone && isVM:
		return p.setDelisted(f, id)
	case f.Kind == FaultLeaving && isVM:
		return p.setListedState(f, id)
	}
	return p.setWorkerFault(f)
}

func (p *Platform) setWorkerFault(f Fault) error {
	var matched []*node
	for _, n := range p.nodes {
		// The first two targets select endpoints; the others are the worker's
		// id, rack and data centre.
		if slices.Contains(n.agentEndpoint.targets[2:], f.Target) {
			matched = append(matched, n)
		}
	}
	if len(matched) == 0 {
		return errNoTarget(f)
	}
	var errs []error
	for _, n := range matched {
		errs = append(errs, p.applyWorkerFault(f, n))
	}
	return errors.Join(errs...)
}

func (p *Platform) applyWorkerFault(f Fault, n *node) error {
	switch f.Kind {
	case FaultWorkerDown:
		changed, err := n.setDown(!f.Off)
		if changed && !f.Off {
			p.vmService.withTable(func(now time.Duration, table *VMTable) { table.Remove(now, n.vm.ID) })
		}
		if changed && f.Off {
			p.vmService.withTable(func(now time.Duration, table *VMTable) { table.Put(now, n.vm) })
		}
		return err
	case FaultFailing:
		n.setFailing(!f.Off)
		return nil
	case FaultLeaving:
		n.backend.setLeaving(!f.Off)
		return p.setListedState(f, n.vm.ID)
	default:
		return errNoTarget(f)
	}
}

// setListedState sets the state of a VM in the VM list to leaving or live.
func (p *Platform) setListedState(f Fault, id string) error {
	err := errNoTarget(f)
	p.vmService.withTable(func(now time.Duration, table *VMTable) {
		vm, ok := table.Current(id)
		if !ok {
			return
		}
		err = nil
		vm.State = hostapi.VMLeaving
		if f.Off {
			vm.State = hostapi.VMLive
		}
		table.Put(now, vm)
	})
	return err
}

// setDelisted removes a VM from the VM list, or adds it again in its initial
// state.
func (p *Platform) setDelisted(f Fault, id string) error {
	index := slices.IndexFunc(p.initialVMs, func(vm hostapi.VM) bool { return vm.ID == id })
	if index < 0 {
		return errNoTarget(f)
	}
	p.vmService.withTable(func(now time.Duration, table *VMTable) {
		if f.Off {
			table.Put(now, p.initialVMs[index])
			return
		}
		table.Remove(now, id)
	})
	return nil
}

func (p *Platform) allEndpoints() []*endpoint {
	all := slices.Clone(p.serviceEndpoints)
	for _, n := range p.nodes {
		all = append(all, n.agentEndpoint, n.backendEndpoint)
	}
	return all
}

// nodeOf returns the node that an endpoint belongs to, or nil.
func (p *Platform) nodeOf(e *endpoint) *node {
	for _, n := range p.nodes {
		if n.agentEndpoint == e || n.backendEndpoint == e {
			return n
		}
	}
	return nil
}
