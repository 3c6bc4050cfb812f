package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
)

// Service is a service as one table has it.
type Service struct {
	// Name is the service's name.
	Name string
	// Spec is the service's declared specification; it must not be changed.
	Spec    api.ServiceSpec
	account *serviceAccount
	// servers are the serving backend servers in own cells.
	servers []*Server
	// groups sum up the servers by cell and slots, for the capacity.
	groups []capacityGroup
	near   []*Peer
	far    []*Peer
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
	for i := range s.groups {
		g := &s.groups[i]
		total += g.workers * g.cell.slotsAt(now, g.slots)
	}
	return int64(total)
}

// RetryBudget returns the budget for sending a request of this service again.
func (s *Service) RetryBudget() *Budget {
	return s.account.retry
}

// HedgeBudget returns the budget for hedged requests of this service.
func (s *Service) HedgeBudget() *Budget {
	return s.account.hedge
}

// ObserveHeadLatency feeds the time from sending to the response head of a successful
// request into the hedge delay.
func (s *Service) ObserveHeadLatency(took time.Duration) {
	s.account.delay.observe(took)
}

// HedgeDelay returns the time after which a second request may be sent for an
// idempotent one, about the 95th percentile of the time to the response head.
// It is 0 while nothing is known.
func (s *Service) HedgeDelay() time.Duration {
	return s.account.delay.value()
}

// InProgress returns how many own slots requests of the service use.
func (s *Service) InProgress() int {
	return int(s.account.inProgress.Load())
}

// OwnServerCount returns how many serving backend servers the own cells have.
func (s *Service) OwnServerCount() int {
	return len(s.servers)
}
