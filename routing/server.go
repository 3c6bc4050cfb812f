package routing

import (
	"sync/atomic"
	"time"
)

// Server is a backend server: one incarnation of a worker, identified by its boot
// id. Once it is leaving it stays so; a restarted worker is another Server.
type Server struct {
	worker  *Worker
	boot    string
	address string
	leaving atomic.Bool
	latency latency
	absence absence
}

// Worker returns the worker that the server runs on.
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

// MarkLeaving records that the server, or the VM list, has announced that the
// server is leaving. It takes effect from the next decision.
func (s *Server) MarkLeaving() {
	s.leaving.Store(true)
}

// ObserveLatency adds an observation to the server's latency estimate: the
// time from sending a request to the response head, or until the wait for the
// head was abandoned.
func (s *Server) ObserveLatency(now, took time.Duration) {
	s.latency.observe(now, took)
}

// Latency returns the decayed latency estimate.
func (s *Server) Latency(now time.Duration) time.Duration {
	return s.latency.estimate(now)
}

// cost returns the expected load of the server for the choice between two: the
// outstanding requests, including the one to be placed, times the latency
// estimate. Servers without an estimate compare by outstanding requests only.
func (s *Server) cost(now time.Duration) float64 {
	outstanding := float64(s.worker.SlotsInUse() + 1)
	return outstanding * float64(latencyFloor+s.latency.estimate(now))
}
