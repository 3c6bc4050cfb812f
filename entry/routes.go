package entry

import (
	"context"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/routing"
	"github.com/cactusreel/cactusreel/tasks"
)

// updateRoutes publishes a new routing table. It does nothing until the resources
// have been read.
func (n *Node) updateRoutes(context.Context) {
	if n.currentWork.Load() == nil {
		return
	}
	now := n.clock()
	s := routing.Snapshot{Now: now, DataCentre: n.settings.DataCentre}
	for _, r := range n.feed.store.View().List(api.KindService) {
		s.Services = append(s.Services, routing.ServiceEntry{Name: r.Name, Spec: *r.Service})
	}
	list := n.currentVMList.Load()
	for _, r := range n.ownedRunners() {
		s.Workers = append(s.Workers, workerEntries(r.view(), list, n.currentWork.Load())...)
	}
	s.Peers = n.peerEntries()
	n.router.Update(s)
	addresses := make(map[string]bool, len(s.Workers))
	for _, w := range s.Workers {
		addresses[w.Address] = true
	}
	n.latencies.retain(addresses)
}

// workerEntries returns the workers of an owned cell with the services that run
// on each.
func workerEntries(v *cellView, list *vmList, d *declaredWork) []routing.WorkerEntry {
	services := make(map[string][]string)
	for _, t := range v.tasks {
		job := d.jobs[jobKeyOfTask(t.Task)]
		if !t.Running || t.Status != tasks.StatusPlaced || job == nil || job.resource.Service == nil {
			continue
		}
		services[t.Worker] = append(services[t.Worker], job.work.Name)
	}
	var entries []routing.WorkerEntry
	for _, w := range v.workers {
		vm, listed := list.workers[w.ID]
		if !listed {
			continue
		}
		entries = append(entries, routing.WorkerEntry{
			ID:       w.ID,
			Cell:     v.cell,
			Boot:     w.Boot,
			Address:  vm.BackendAddress,
			Slots:    vm.Slots,
			Leaving:  vm.State == hostapi.VMLeaving,
			Services: services[w.ID],
		})
	}
	return entries
}

// peerEntries returns the cells owned by ready peers, with their free slots.
func (n *Node) peerEntries() []routing.PeerEntry {
	now := n.clock()
	var entries []routing.PeerEntry
	for _, p := range n.peers {
		summary, ok := p.recentSummary(now)
		if !ok || !summary.Ready {
			continue
		}
		for _, c := range summary.Cells {
			free := make(map[string]int, len(c.Services))
			for _, s := range c.Services {
				free[s.Service] = int(s.FreeSlots)
			}
			entries = append(entries, routing.PeerEntry{
				VM:         summary.Vm,
				Address:    p.client.Address.HostPort,
				DataCentre: c.DataCentre,
				Cell:       int(c.Cell),
				Serial:     summary.Version,
				Free:       free,
			})
		}
	}
	return entries
}
