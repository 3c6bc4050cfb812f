package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

const (
	service = "service"
	// maxSends is the proxy's default for the sends of one request.
	maxSends = 3
	// callers is the number of simulated callers.
	callers = 64
)

// ownerSharing shares slots by cell ownership: VM i owns cell i.
type ownerSharing struct {
	sim     *simulation
	routers [vms]*routing.Router
	serial  uint64
}

func newOwnerSharing(s *simulation) *ownerSharing {
	o := &ownerSharing{sim: s}
	for vm := range o.routers {
		o.routers[vm] = routing.New()
		a := routing.Authority{Term: 1, State: routing.Held, FullUntil: 24 * time.Hour}
		o.routers[vm].SetAuthority(vm, a)
	}
	return o
}

// renew publishes the summaries of all cells.
func (o *ownerSharing) renew() {
	o.serial++
	var peers [vms][]routing.PeerEntry
	for vm, r := range o.routers {
		for _, summary := range r.Summaries(o.sim.now) {
			e := routing.PeerEntry{
				VM: strconv.Itoa(vm), DataCentre: "here", Cell: summary.Cell, Serial: o.serial, Free: summary.Free,
			}
			for other := range peers {
				if other != vm {
					peers[other] = append(peers[other], e)
				}
			}
		}
	}
	for vm, r := range o.routers {
		r.Update(o.snapshot(vm, peers[vm]))
	}
}

func (o *ownerSharing) snapshot(vm int, peers []routing.PeerEntry) routing.Snapshot {
	s := routing.Snapshot{Now: o.sim.now, DataCentre: "here", Peers: peers}
	s.Services = []routing.ServiceEntry{{Name: service}}
	for w := vm; w < o.sim.pattern.workers; w += vms {
		s.Workers = append(s.Workers, routing.WorkerEntry{
			ID: strconv.Itoa(w), Cell: vm, Boot: "1", Address: fmt.Sprint("worker ", w),
			Slots: slotsPerWorker, Services: []string{service},
		})
	}
	return s
}

func (o *ownerSharing) start(r *request) {
	d := o.route(r.vm, routing.Anywhere)
	switch {
	case d.Code != result.OK:
		o.sim.reject()
	case d.Peer != nil:
		o.forward(r, d.Peer)
	default:
		o.run(r, d.Slot, 0, func() {})
	}
}

func (o *ownerSharing) route(vm int, scope routing.Scope) routing.Decision {
	q := routing.Request{
		Service: service, Criticality: routing.High, Scope: scope,
		Caller: o.sim.choices.Uint64() % callers, Random: o.sim.choices.Uint64(),
	}
	return o.routers[vm].Choose(o.sim.now, &q)
}

// forward sends the request to the owner of a cell. If the owner rejects it,
// the rejection reaches the entry VM after the return hop, and the entry VM
// routes the request again.
func (o *ownerSharing) forward(r *request, peer *routing.Peer) {
	o.sim.forwarded++
	r.sends++
	o.sim.after(hopDelay, func() {
		d := o.route(peer.Cell, routing.OwnCells)
		if d.Code == result.OK {
			o.run(r, d.Slot, hopDelay, peer.ReleaseSlot)
			return
		}
		o.sim.after(hopDelay, func() {
			peer.MarkExhausted()
			if r.sends < maxSends {
				o.start(r)
				return
			}
			o.sim.reject()
		})
	})
}

// run runs the request in a slot. The response reaches the entry VM after the
// return delay, and done is called then.
func (o *ownerSharing) run(r *request, slot routing.Slot, returnDelay time.Duration, done func()) {
	// Worker ids are decimal numbers in this program.
	worker, _ := strconv.Atoi(slot.Server.Worker().ID())
	o.sim.run(r, worker, returnDelay, func(took time.Duration) {
		slot.Server.ObserveLatency(o.sim.now, took)
		slot.Release()
		o.sim.after(returnDelay, done)
	})
}
