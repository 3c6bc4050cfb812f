package routing

import (
	"sync/atomic"
	"time"
)

// accountRetention is how long the account of a worker that is no longer
// listed is kept. It exceeds every request time, so a worker that is listed
// again never gets a second account while requests use the first.
const accountRetention = 10 * time.Minute

// accounts holds what survives table changes. It is used under the router's
// lock; the accounts themselves are concurrent.
type accounts struct {
	cells    map[int]*Cell
	workers  map[string]*Worker
	servers  map[serverKey]*Server
	services map[string]*serviceAccount
	peers    map[peerKey]*peerAccount
}

// serverKey names one boot of one worker at one address.
type serverKey struct {
	worker, boot, address string
}

// peerKey names a service in a cell of a peer.
type peerKey struct {
	dataCentre string
	cell       int
	service    string
}

// peerAccount is the estimate of a peer's free slots.
type peerAccount struct {
	vm     string
	serial uint64
	free   *atomic.Int64
	used   bool
}

func newAccounts() *accounts {
	return &accounts{
		cells:    map[int]*Cell{},
		workers:  map[string]*Worker{},
		servers:  map[serverKey]*Server{},
		services: map[string]*serviceAccount{},
		peers:    map[peerKey]*peerAccount{},
	}
}

func (a *accounts) cell(number int) *Cell {
	c := a.cells[number]
	if c == nil {
		c = newCell(number)
		a.cells[number] = c
	}
	return c
}

func (a *accounts) service(name string) *serviceAccount {
	s := a.services[name]
	if s == nil {
		s = newServiceAccount()
		a.services[name] = s
	}
	return s
}

func (a *accounts) worker(e *WorkerEntry) *Worker {
	w := a.workers[e.ID]
	if w == nil {
		w = newWorker(e.ID, e.Slots)
		a.workers[e.ID] = w
	}
	w.cell.Store(a.cell(e.Cell))
	return w
}

func (a *accounts) server(e *WorkerEntry) *Server {
	w := a.worker(e)
	key := serverKey{e.ID, e.Boot, e.Address}
	s := a.servers[key]
	if s == nil {
		s = &Server{worker: w, boot: e.Boot, address: e.Address}
		a.servers[key] = s
	}
	if e.Leaving {
		s.MarkLeaving()
	}
	return s
}

// peerFree returns the estimate for a summary. A new summary replaces it; the
// same one does not, so that requests sent since it was made still count.
func (a *accounts) peerFree(e *PeerEntry, service string, free int) *atomic.Int64 {
	key := peerKey{e.DataCentre, e.Cell, service}
	p := a.peers[key]
	if p == nil || p.vm != e.VM {
		p = &peerAccount{vm: e.VM, free: &atomic.Int64{}}
		a.peers[key] = p
		p.free.Store(int64(free))
	} else if p.serial != e.Serial {
		p.free.Store(int64(free))
	}
	p.serial = e.Serial
	p.used = true
	return p.free
}

// prune drops accounts that nothing uses any more.
func (a *accounts) prune(s *Snapshot) {
	a.pruneWorkers(s)
	a.pruneServers(s)
	for key, p := range a.peers {
		if !p.used {
			delete(a.peers, key)
		}
		p.used = false
	}
	a.pruneServices(s)
}

func (a *accounts) pruneWorkers(s *Snapshot) {
	listed := make(map[string]bool, len(s.Workers))
	for i := range s.Workers {
		listed[s.Workers[i].ID] = true
	}
	for id, w := range a.workers {
		if !w.absence.over(s.Now, listed[id]) {
			continue
		}
		w.sweep(s.Now)
		if w.SlotsInUse() == 0 && w.Connections() == 0 {
			delete(a.workers, id)
		}
	}
}

// pruneServers drops earlier boots of workers. They are kept for a while
// because a lagging VM list may name one again, and it must then still be
// leaving.
func (a *accounts) pruneServers(s *Snapshot) {
	listed := make(map[serverKey]bool, len(s.Workers))
	for i := range s.Workers {
		e := &s.Workers[i]
		listed[serverKey{e.ID, e.Boot, e.Address}] = true
	}
	for key, server := range a.servers {
		if server.absence.over(s.Now, listed[key]) || a.workers[key.worker] == nil {
			delete(a.servers, key)
		}
	}
}

// pruneServices drops the accounts of services that are no longer declared
// and have no requests in progress.
func (a *accounts) pruneServices(s *Snapshot) {
	declared := make(map[string]bool, len(s.Services))
	for _, e := range s.Services {
		declared[e.Name] = true
	}
	for name, account := range a.services {
		if !declared[name] && account.inProgress.Load() == 0 {
			delete(a.services, name)
		}
	}
}
