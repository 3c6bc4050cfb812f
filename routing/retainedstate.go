package routing

import (
	"sync/atomic"
	"time"
)

// unlistedRetention is how long the state of a worker or server that is no
// longer listed is kept. It exceeds the maximum request time, so a worker that
// is listed again never gets a second state while requests still use the first.
const unlistedRetention = 10 * time.Minute

// retainedState holds the state that survives routing table updates. The maps
// are guarded by the router's lock; the objects in them are safe for
// concurrent use.
type retainedState struct {
	cells    map[int]*Cell
	workers  map[string]*Worker
	servers  map[serverKey]*Server
	services map[string]*serviceState
	peers    map[peerKey]*peerState
}

// serverKey identifies one incarnation of a worker at one address.
type serverKey struct {
	worker, boot, address string
}

// peerKey identifies a service in a cell of a peer.
type peerKey struct {
	dataCentre string
	cell       int
	service    string
}

// peerState is the estimate of the free slots of one service in a peer's cell.
type peerState struct {
	vm        string
	serial    uint64
	freeSlots *atomic.Int64
	listed    bool
}

func newRetainedState() *retainedState {
	return &retainedState{
		cells:    map[int]*Cell{},
		workers:  map[string]*Worker{},
		servers:  map[serverKey]*Server{},
		services: map[string]*serviceState{},
		peers:    map[peerKey]*peerState{},
	}
}

// cell returns the state of a cell and creates it if there is none.
func (r *retainedState) cell(number int) *Cell {
	c := r.cells[number]
	if c == nil {
		c = newCell(number)
		r.cells[number] = c
	}
	return c
}

// service returns the state of a service and creates it if there is none.
func (r *retainedState) service(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = newServiceState()
		r.services[name] = s
	}
	return s
}

// worker returns the state of a worker, creates it if there is none, and assigns
// it to the listed cell.
func (r *retainedState) worker(e *WorkerEntry) *Worker {
	w := r.workers[e.ID]
	if w == nil {
		w = newWorker(e.ID, e.Slots)
		r.workers[e.ID] = w
	}
	w.cell.Store(r.cell(e.Cell))
	return w
}

// server returns the state of a backend server, creates it if there is none, and
// marks it as leaving if the entry does.
func (r *retainedState) server(e *WorkerEntry) *Server {
	w := r.worker(e)
	key := serverKey{e.ID, e.Boot, e.Address}
	s := r.servers[key]
	if s == nil {
		s = &Server{worker: w, boot: e.Boot, address: e.Address}
		r.servers[key] = s
	}
	if e.Leaving {
		s.MarkLeaving()
	}
	return s
}

// peerFreeSlots returns the free slot estimate for a service in a peer's
// summary. A summary with a new serial resets the estimate. The same summary
// does not, so that requests sent since it was published still count.
func (r *retainedState) peerFreeSlots(e *PeerEntry, service string, free int) *atomic.Int64 {
	key := peerKey{e.DataCentre, e.Cell, service}
	p := r.peers[key]
	if p == nil || p.vm != e.VM {
		p = &peerState{vm: e.VM, freeSlots: &atomic.Int64{}}
		r.peers[key] = p
		p.freeSlots.Store(int64(free))
	} else if p.serial != e.Serial {
		p.freeSlots.Store(int64(free))
	}
	p.serial = e.Serial
	p.listed = true
	return p.freeSlots
}

// prune drops the state of objects that are neither listed nor in use.
func (r *retainedState) prune(s *Snapshot) {
	r.pruneWorkers(s)
	r.pruneServers(s)
	for key, p := range r.peers {
		if !p.listed {
			delete(r.peers, key)
		}
		p.listed = false
	}
	r.pruneServices(s)
}

func (r *retainedState) pruneWorkers(s *Snapshot) {
	listed := make(map[string]bool, len(s.Workers))
	for i := range s.Workers {
		listed[s.Workers[i].ID] = true
	}
	for id, w := range r.workers {
		if !w.absence.expired(s.Now, listed[id]) {
			continue
		}
		w.reclaimExpiredSlots(s.Now)
		if w.SlotsInUse() == 0 && w.Connections() == 0 {
			delete(r.workers, id)
		}
	}
}

// pruneServers drops servers that have not been listed for unlistedRetention.
// Those of previous incarnations are kept that long because a stale VM list may
// contain one again, and it must then still be marked as leaving.
func (r *retainedState) pruneServers(s *Snapshot) {
	listed := make(map[serverKey]bool, len(s.Workers))
	for i := range s.Workers {
		e := &s.Workers[i]
		listed[serverKey{e.ID, e.Boot, e.Address}] = true
	}
	for key, server := range r.servers {
		if server.absence.expired(s.Now, listed[key]) || r.workers[key.worker] == nil {
			delete(r.servers, key)
		}
	}
}

// pruneServices drops the state of services that are no longer declared and
// have no requests in progress.
func (r *retainedState) pruneServices(s *Snapshot) {
	declared := make(map[string]bool, len(s.Services))
	for _, e := range s.Services {
		declared[e.Name] = true
	}
	for name, state := range r.services {
		if !declared[name] && state.inProgress.Load() == 0 {
			delete(r.services, name)
		}
	}
}
