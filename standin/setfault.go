package standin

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	streamTarget = "stream/"
	vmTarget     = "vm/"
	listTarget   = "vms"
)

// SetFault switches a fault on or off. An error with code BadResource or
// NotFound means that nothing changed.
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
	var hit []*endpoint
	for _, e := range p.allEndpoints() {
		if slices.Contains(e.targets, f.Target) {
			hit = append(hit, e)
		}
	}
	if len(hit) == 0 {
		return errNoTarget(f)
	}
	if f.Kind == FaultFrozen && f.Count == 0 && !f.Off {
		for _, e := range hit {
			e.freeze()
		}
		return nil
	}
	if f.Kind != FaultDown || f.Count > 0 {
		p.faults.Set(f)
		return nil
	}
	p.faults.Set(Fault{Kind: f.Kind, Target: f.Target, Off: true})
	return p.setEndpointsDown(hit, !f.Off)
}

// setEndpointsDown leaves the endpoints of workers that are down as they are.
func (p *Platform) setEndpointsDown(hit []*endpoint, down bool) error {
	var errs []error
	for _, e := range hit {
		n := p.nodeOf(e)
		if n == nil || !n.isDown() {
			errs = append(errs, e.setDown(down))
		}
	}
	return errors.Join(errs...)
}

func (p *Platform) setStateFault(f Fault) error {
	name, isStream := strings.CutPrefix(f.Target, streamTarget)
	id, isVM := strings.CutPrefix(f.Target, vmTarget)
	switch {
	case f.Kind == FaultTruncated && isStream && !f.Off:
		p.log.truncate(name, f.First)
		return nil
	case f.Kind == FaultLagging && f.Target == listTarget:
		p.vms.update(func(now time.Duration, table *VMTable) { table.SetFrozen(now, !f.Off) })
		return nil
	case f.Kind == FaultGone && isVM:
		return p.setGone(f, id)
	case f.Kind == FaultLeaving && isVM:
		return p.setListed(f, id)
	}
	return p.setWorkerFault(f)
}

func (p *Platform) setWorkerFault(f Fault) error {
	var hit []*node
	for _, n := range p.nodes {
		// The targets after the first two name workers, racks and data centres.
		if slices.Contains(n.agentEndpoint.targets[2:], f.Target) {
			hit = append(hit, n)
		}
	}
	if len(hit) == 0 {
		return errNoTarget(f)
	}
	var errs []error
	for _, n := range hit {
		errs = append(errs, p.applyToNode(f, n))
	}
	return errors.Join(errs...)
}

func (p *Platform) applyToNode(f Fault, n *node) error {
	switch f.Kind {
	case FaultWorkerDown:
		changed, err := n.setDown(!f.Off)
		if changed && !f.Off {
			p.vms.update(func(now time.Duration, table *VMTable) { table.Remove(now, n.vm.ID) })
		}
		if changed && f.Off {
			p.vms.update(func(now time.Duration, table *VMTable) { table.Put(now, n.vm) })
		}
		return err
	case FaultFailing:
		n.setFailing(!f.Off)
		return nil
	case FaultLeaving:
		n.backend.setLeaving(!f.Off)
		return p.setListed(f, n.vm.ID)
	default:
		return errNoTarget(f)
	}
}

// setListed makes the VM list say that a VM leaves, or that it is live.
func (p *Platform) setListed(f Fault, id string) error {
	err := errNoTarget(f)
	p.vms.update(func(now time.Duration, table *VMTable) {
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

// setGone takes a VM off the list, or puts it back.
func (p *Platform) setGone(f Fault, id string) error {
	index := slices.IndexFunc(p.listed, func(vm hostapi.VM) bool { return vm.ID == id })
	if index < 0 {
		return errNoTarget(f)
	}
	p.vms.update(func(now time.Duration, table *VMTable) {
		if f.Off {
			table.Put(now, p.listed[index])
			return
		}
		table.Remove(now, id)
	})
	return nil
}

func (p *Platform) allEndpoints() []*endpoint {
	all := slices.Clone(p.endpoints)
	for _, n := range p.nodes {
		all = append(all, n.agentEndpoint, n.backendEndpoint)
	}
	return all
}

// nodeOf returns the worker that an endpoint belongs to, or nil.
func (p *Platform) nodeOf(e *endpoint) *node {
	for _, n := range p.nodes {
		if n.agentEndpoint == e || n.backendEndpoint == e {
			return n
		}
	}
	return nil
}
