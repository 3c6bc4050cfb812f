package routing

import (
	"sync/atomic"
	"time"
)

// Server is a backend server: one boot of one worker. Its leaving state is
// sticky, because a restarted server is another Server.
type Server struct {
	worker  *Worker
	boot    string
	address string
	leaving atomic.Bool
	latency latency
	absence absence
}

// Worker returns the account of the server's worker.
func (s *Server) Worker() *Worker {
	return s.worker
}

// Boot returns the boot id that the server was listed with.
func (s *Server) Boot() string {
	return s.boot
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string {
	return s.address
}

// Leaving reports whether the server takes no new requests.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// MarkLeaving records the server's own word, or the VM list's, that it is
// leaving. It takes effect for the next decision.
func (s *Server) MarkLeaving() {
	s.leaving.Store(true)
}

// ObserveLatency feeds the time from sending a request to the response head, or to
// the moment it was given up, into the server's latency estimate.
func (s *Server) ObserveLatency(now, took time.Duration) {
	s.latency.observe(now, took)
}

// Latency returns the decayed latency estimate.
func (s *Server) Latency(now time.Duration) time.Duration {
	return s.latency.estimate(now)
}

// cost orders servers: requests outstanding, this one included, times the
// latency estimate. Servers without an estimate compare by requests alone.
func (s *Server) cost(now time.Duration) float64 {
	outstanding := float64(s.worker.SlotsInUse() + 1)
	return outstanding * float64(latencyFloor+s.latency.estimate(now))
}
