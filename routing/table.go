package routing

// table is one immutable version of the routing table.
type table struct {
	services map[string]*Service
}

// tableBuilder makes the next table from a snapshot. It runs under the
// router's lock.
type tableBuilder struct {
	accounts *accounts
	snapshot *Snapshot
	services map[string]*Service
}

func buildTable(accounts *accounts, snapshot *Snapshot) *table {
	b := tableBuilder{accounts: accounts, snapshot: snapshot, services: map[string]*Service{}}
	b.addServices()
	b.addWorkers()
	b.addPeers()
	return &table{services: b.services}
}

func (b *tableBuilder) addServices() {
	for _, e := range b.snapshot.Services {
		b.services[e.Name] = &Service{Name: e.Name, Spec: e.Spec, account: b.accounts.service(e.Name)}
	}
}

func (b *tableBuilder) addWorkers() {
	for i := range b.snapshot.Workers {
		e := &b.snapshot.Workers[i]
		server := b.accounts.server(e)
		if server.Leaving() {
			continue
		}
		for _, name := range e.Services {
			if svc := b.services[name]; svc != nil {
				svc.addServer(server)
			}
		}
	}
}

func (s *Service) addServer(server *Server) {
	s.servers = append(s.servers, server)
	cell := server.worker.cell.Load()
	slots := len(server.worker.places)
	for i := range s.groups {
		if s.groups[i].cell == cell && s.groups[i].slots == slots {
			s.groups[i].workers++
			return
		}
	}
	s.groups = append(s.groups, capacityGroup{cell: cell, slots: slots, workers: 1})
}

func (b *tableBuilder) addPeers() {
	for i := range b.snapshot.Peers {
		e := &b.snapshot.Peers[i]
		for name, free := range e.Free {
			svc := b.services[name]
			if svc == nil {
				continue
			}
			peer := &Peer{VM: e.VM, Address: e.Address, DataCentre: e.DataCentre, Cell: e.Cell}
			peer.free = b.accounts.peerFree(e, name, free)
			if e.DataCentre == b.snapshot.DataCentre {
				svc.near = append(svc.near, peer)
			} else {
				svc.far = append(svc.far, peer)
			}
		}
	}
}
