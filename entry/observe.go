package entry

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/ownership"
)

// observeState returns the current values of the state whose changes are
// logged.
func (n *Node) observeState() observedState {
	now := n.clock()
	list := n.currentVMList.Load()
	s := observedState{
		ready:         n.Ready() == nil,
		logDirect:     n.log.DirectReachable(),
		vmListFresh:   list.readAt != 0 && now-list.readAt < vmListStaleAfter,
		startsAllowed: now < n.startUntil(),
		peers:         make(map[string]bool),
		cells:         make(map[int]ownership.View),
		workers:       make(map[string]workerReachability),
		vms:           list.workers,
		inService:     make(map[string]bool),
	}
	for _, p := range n.peers {
		_, s.peers[p.client.Address.VM] = p.recentSummary(now)
	}
	if claims := n.claims.Load(); claims != nil {
		for _, v := range claims.Views() {
			s.cells[v.Cell] = v
		}
	}
	for _, r := range n.ownedRunners() {
		for _, w := range r.view().workers {
			s.workers[w.ID] = workerReachability{ready: w.Ready, boot: w.Boot}
		}
	}
	for _, r := range n.feed.store.View().List(api.KindDataCentre) {
		s.inService[r.Name] = r.DataCentre.InService
	}
	return s
}
