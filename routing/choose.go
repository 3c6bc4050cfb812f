package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// scanLimit bounds the search for a free slot after both random choices were
// full. It exceeds the number of workers of a cell (about 45); in a larger set
// 64 full servers in a row mean that nearly all are full.
const scanLimit = 64

// Choose decides where a request runs. It takes no lock and allocates nothing.
// The decision's slot is taken when Choose returns.
func (r *Router) Choose(now time.Duration, q *Request) Decision {
	svc, ok := r.table.Load().services[q.Service]
	if !ok {
		return Decision{Code: result.NotRunNoService}
	}
	if slot, ok := svc.chooseOwn(now, q); ok {
		return Decision{Code: result.OK, Service: svc, Slot: slot}
	}
	if peer := svc.choosePeer(q); peer != nil {
		return Decision{Code: result.OK, Service: svc, Peer: peer}
	}
	return Decision{Code: svc.refusal(q), Service: svc}
}

func (s *Service) chooseOwn(now time.Duration, q *Request) (Slot, bool) {
	if len(s.servers) == 0 {
		return Slot{}, false
	}
	capacity := s.capacity(now)
	share, ok := s.account.admit(now, q, capacity)
	if !ok && s.sweep(now, q) {
		share, ok = s.account.admit(now, q, capacity)
	}
	if !ok {
		return Slot{}, false
	}
	first, second := s.twoServers(now, q)
	if slot, ok := s.take(now, q, first, share); ok {
		return slot, true
	}
	if slot, ok := s.take(now, q, second, share); ok {
		return slot, true
	}
	return s.scan(now, q, share)
}

// sweep frees slots of abandoned requests whose release time has passed and
// reports whether it found any. Without it, admission would count such slots
// until a decision happens to look at their worker.
func (s *Service) sweep(now time.Duration, q *Request) bool {
	start, _ := twoOf(q.Random, len(s.servers))
	found := false
	for k := range min(scanLimit, len(s.servers)) {
		if s.servers[(start+k)%len(s.servers)].worker.sweep(now) {
			found = true
		}
	}
	return found
}

// twoServers returns two different random servers, the cheaper one first.
func (s *Service) twoServers(now time.Duration, q *Request) (first, second *Server) {
	i, j := twoOf(q.Random, len(s.servers))
	first, second = s.servers[i], s.servers[j]
	if second.cost(now) < first.cost(now) {
		return second, first
	}
	return first, second
}

// scan takes a slot of the first server with a free one, from a random start.
func (s *Service) scan(now time.Duration, q *Request, share *callerShare) (Slot, bool) {
	start, _ := twoOf(q.Random, len(s.servers))
	for k := range min(scanLimit, len(s.servers)) {
		server := s.servers[(start+k)%len(s.servers)]
		if slot, ok := s.take(now, q, server, share); ok {
			return slot, true
		}
	}
	return Slot{}, false
}

func (s *Service) take(now time.Duration, q *Request, server *Server, share *callerShare) (Slot, bool) {
	if server.Leaving() || excluded(q.Exclude, server) {
		return Slot{}, false
	}
	cell := server.worker.cell.Load()
	if cell == nil {
		return Slot{}, false
	}
	term := cell.authority.Load().Term
	place, limit := server.worker.acquire(now, s.account, share)
	if place < 0 {
		return Slot{}, false
	}
	s.account.inProgress.Add(1)
	share.inProgress.Add(1)
	return Slot{Server: server, Term: term, place: place, limit: limit}, true
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
	if p := spendOne(s.near, q.Random); p != nil {
		return p
	}
	if q.Scope == OwnDataCentre {
		return nil
	}
	return spendOne(s.far, q.Random)
}

// spendOne takes the peer with more free slots of two random ones, or else any
// peer with a free slot.
func spendOne(peers []*Peer, random uint64) *Peer {
	if len(peers) == 0 {
		return nil
	}
	i, j := twoOf(random, len(peers))
	if peers[j].free.Load() > peers[i].free.Load() {
		i = j
	}
	for k := range min(scanLimit, len(peers)) {
		if p := peers[(i+k)%len(peers)]; p.spend() {
			return p
		}
	}
	return nil
}

// refusal tells a service without any backend server from a busy one.
func (s *Service) refusal(q *Request) result.Code {
	reachable := len(s.servers)
	if q.Scope != OwnCells {
		reachable += len(s.near)
	}
	if q.Scope == Anywhere {
		reachable += len(s.far)
	}
	if reachable == 0 {
		return result.NotRunNoBackend
	}
	return result.NotRunOverloaded
}

// twoOf maps a random number to two indexes below n, which differ if n > 1.
func twoOf(random uint64, n int) (i, j int) {
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
