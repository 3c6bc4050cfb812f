package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// scanLimit bounds the linear search for a free slot after both random choices
// were full. It exceeds the number of workers of a cell (about 45); in a larger
// set, 64 full servers in a row mean that nearly all are full.
const scanLimit = 64

// Choose decides where a request runs. It takes no lock and allocates nothing.
// A slot in the decision is already acquired when Choose returns.
func (r *Router) Choose(now time.Duration, q *Request) Decision {
	svc, ok := r.table.Load().services[q.Service]
	if !ok {
		return Decision{Code: result.NotRunNoService}
	}
	if slot, ok := svc.chooseOwnServer(now, q); ok {
		return Decision{Code: result.OK, Service: svc, Slot: slot}
	}
	if peer := svc.choosePeer(q); peer != nil {
		return Decision{Code: result.OK, Service: svc, Peer: peer}
	}
	return Decision{Code: svc.rejectionCode(q), Service: svc}
}

func (s *Service) chooseOwnServer(now time.Duration, q *Request) (Slot, bool) {
	if len(s.servers) == 0 {
		return Slot{}, false
	}
	capacity := s.capacity(now)
	share, ok := s.state.admit(now, q, capacity)
	if !ok && s.reclaimExpiredSlots(now, q) {
		share, ok = s.state.admit(now, q, capacity)
	}
	if !ok {
		return Slot{}, false
	}
	first, second := s.pickTwoServers(now, q)
	if slot, ok := s.tryAcquireSlot(now, q, first, share); ok {
		return slot, true
	}
	if slot, ok := s.tryAcquireSlot(now, q, second, share); ok {
		return slot, true
	}
	return s.scanForSlot(now, q, share)
}

// reclaimExpiredSlots frees slots of abandoned requests whose release time has
// passed and reports whether it freed any. Without it, admission would count
// such slots until a later decision selects their worker.
func (s *Service) reclaimExpiredSlots(now time.Duration, q *Request) bool {
	start, _ := twoRandomIndexes(q.Random, len(s.servers))
	found := false
	for k := range min(scanLimit, len(s.servers)) {
		if s.servers[(start+k)%len(s.servers)].worker.reclaimExpiredSlots(now) {
			found = true
		}
	}
	return found
}

// pickTwoServers returns two random servers, the one with the lower cost first
// (power of two choices). They differ if there are at least two.
func (s *Service) pickTwoServers(now time.Duration, q *Request) (first, second *Server) {
	i, j := twoRandomIndexes(q.Random, len(s.servers))
	first, second = s.servers[i], s.servers[j]
	if second.cost(now) < first.cost(now) {
		return second, first
	}
	return first, second
}

// scanForSlot acquires a slot of the first server that has one, beginning at a
// random server.
func (s *Service) scanForSlot(now time.Duration, q *Request, share *callerShare) (Slot, bool) {
	start, _ := twoRandomIndexes(q.Random, len(s.servers))
	for k := range min(scanLimit, len(s.servers)) {
		server := s.servers[(start+k)%len(s.servers)]
		if slot, ok := s.tryAcquireSlot(now, q, server, share); ok {
			return slot, true
		}
	}
	return Slot{}, false
}

func (s *Service) tryAcquireSlot(now time.Duration, q *Request, server *Server, share *callerShare) (Slot, bool) {
	if server.Leaving() || excluded(q.Exclude, server) {
		return Slot{}, false
	}
	cell := server.worker.cell.Load()
	if cell == nil {
		return Slot{}, false
	}
	term := cell.authority.Load().Term
	index, limit := server.worker.acquireSlot(now, s.state, share)
	if index < 0 {
		return Slot{}, false
	}
	s.state.inProgress.Add(1)
	share.inProgress.Add(1)
	return Slot{Server: server, Term: term, index: index, allowed: limit}, true
}

func excluded(list []*Server, server *Server) bool {
	for _, s := range list {
		if s == server {
			return true
		}
	}
	return false
}

func (s *Service) choosePeer(q *Request) *Peer {
	if q.Scope == OwnCells {
		return nil
	}
	if p := reservePeerSlot(s.localPeers, q.Random); p != nil {
		return p
	}
	if q.Scope == OwnDataCentre {
		return nil
	}
	return reservePeerSlot(s.remotePeers, q.Random)
}

// reservePeerSlot reserves a slot at the peer with more free slots of two
// random ones, or else at the next peer that has one. It returns nil if no
// peer within scanLimit has a free slot.
func reservePeerSlot(peers []*Peer, random uint64) *Peer {
	if len(peers) == 0 {
		return nil
	}
	i, j := twoRandomIndexes(random, len(peers))
	if peers[j].freeSlots.Load() > peers[i].freeSlots.Load() {
		i = j
	}
	for k := range min(scanLimit, len(peers)) {
		if p := peers[(i+k)%len(peers)]; p.reserveSlot() {
			return p
		}
	}
	return nil
}

// rejectionCode distinguishes a service without any backend server in scope
// from an overloaded one.
func (s *Service) rejectionCode(q *Request) result.Code {
	reachable := len(s.servers)
	if q.Scope != OwnCells {
		reachable += len(s.localPeers)
	}
	if q.Scope == Anywhere {
		reachable += len(s.remotePeers)
	}
	if reachable == 0 {
		return result.NotRunNoBackend
	}
	return result.NotRunOverloaded
}

// twoRandomIndexes maps a random number to two indexes below n, which differ
// if n > 1.
func twoRandomIndexes(random uint64, n int) (i, j int) {
	i = int((random >> 32) * uint64(n) >> 32)
	if n < 2 {
		return i, i
	}
	j = int((random & 0xffffffff) * uint64(n-1) >> 32)
	if j >= i {
		j++
	}
	return i, j
}
