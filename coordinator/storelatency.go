package coordinator

import (
	"sync"

	"github.com/cactusreel/cactusreel/gather"
)

// storeLatency follows the latency of the node's calls to the store that wait for nothing else.
type storeLatency struct {
	node    *Node
	mu      sync.Mutex
	latency gather.Latency
}

// sent records that a call was sent. The returned function records its end.
func (s *storeLatency) sent() func(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.latency.Sent(s.node.monotonicNow())
	return func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.latency.Done(call, s.node.monotonicNow(), err == nil)
	}
}

func (s *storeLatency) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.Slow(s.node.monotonicNow())
}

func (s *storeLatency) isAnsweringSlowly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.AnsweringSlowly(s.node.monotonicNow())
}

// passTo returns the address to which a sender's records go.
func (s *storeLatency) passTo(sender *gather.Sender, owner string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sender.To(s.node.monotonicNow(), &s.latency, owner)
}
