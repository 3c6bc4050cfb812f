package routing

// table is one immutable version of the routing table.
type table struct {
	services map[string]*Service
}

// tableBuilder builds a table from a snapshot. It is used under the router's
// lock.
type tableBuilder struct {
	retained *retainedState
	snapshot *Snapshot
	services map[string]*Service
}

func buildTable(retained *retainedState, snapshot *Snapshot) *table {
	b := tableBuilder{retained: retained, snapshot: snapshot, services: map[string]*Service{}}
	b.addServices()
	b.addWorkers()
	b.addPeers()
	return &table{services: b.services}
}

func (b *tableBuilder) addServices() {
	for _, e := range b.snapshot.Services {
		b.services[e.Name] = &Service{Name: e.Name, Spec: e.Spec, state: b.retained.service(e.Name)}
	}
}

func (b *tableBuilder) addWorkers() {
	for i := range b.snapshot.Workers {
		e := &b.snapshot.Workers[i]
		server := b.retained.server(e)
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
	slots := len(server.worker.slots)
	for i := range s.capacityGroups {
		if s.capacityGroups[i].cell == cell && s.capacityGroups[i].slots == slots {
			s.capacityGroups[i].workers++
			return
		}
	}
	s.capacityGroups = append(s.capacityGroups, capacityGroup{cell: cell, slots: slots, workers: 1})
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
			peer.freeSlots = b.retained.peerFreeSlots(e, name, free)
			if e.DataCentre == b.snapshot.DataCentre {
				svc.localPeers = append(svc.localPeers, peer)
			} else {
				svc.remotePeers = append(svc.remotePeers, peer)
			}
		}
	}
}
