package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
)

// Service is a service in one version of the routing table.
type Service struct {
	// Name is the service's name.
	Name string
	// Spec is the service's declared specification; it must not be changed.
	Spec  api.ServiceSpec
	state *serviceState
	// servers are the serving backend servers in own cells.
	servers []*Server
	// capacityGroups counts the servers by cell and number of slots, for
	// capacity.
	capacityGroups []capacityGroup
	localPeers     []*Peer
	remotePeers    []*Peer
}

// capacityGroup counts workers of one cell that have equally many slots.
type capacityGroup struct {
	cell    *Cell
	slots   int
	workers int
}

// capacity returns how many slots of own cells the service may use now. Slots
// of workers that several services share count for each of them.
func (s *Service) capacity(now time.Duration) int64 {
	total := 0
	for i := range s.capacityGroups {
		g := &s.capacityGroups[i]
		total += g.workers * g.cell.slotsAt(now, g.slots)
	}
	return int64(total)
}

// RetryBudget returns the budget for retries of requests of this service.
func (s *Service) RetryBudget() *Budget {
	return s.state.retry
}

// HedgeBudget returns the budget for hedged requests of this service.
func (s *Service) HedgeBudget() *Budget {
	return s.state.hedge
}

// ObserveHeadLatency adds the time from sending a successful request to its
// response head to the estimate of the hedge delay.
func (s *Service) ObserveHeadLatency(took time.Duration) {
	s.state.delay.observe(took)
}

// HedgeDelay returns the time after which an idempotent request may be hedged
// by a second send, about the 95th percentile of the time to the response
// head. It is 0 before the first observation.
func (s *Service) HedgeDelay() time.Duration {
	return s.state.delay.value()
}

// InProgress returns how many slots of own cells are used by requests of the
// service.
func (s *Service) InProgress() int {
	return int(s.state.inProgress.Load())
}

// OwnServerCount returns how many serving backend servers the service has in
// own cells.
func (s *Service) OwnServerCount() int {
	return len(s.servers)
}
