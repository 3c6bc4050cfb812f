package routing

import "time"

// Slot is a slot of a worker, acquired for one request to one server. Exactly
// one of Release, Abandon and AbandonCharged must be called, once.
type Slot struct {
	// Server is where the request is to be sent.
	Server *Server
	// Term is the term of the cell when the slot was acquired.
	Term  int64
	index int
	// allowed is the number of slots that the authority allowed on the worker
	// when the slot was acquired.
	allowed int
}

// Valid reports whether the slot may still be used: the term is the same and
// the authority allows no fewer slots than when the slot was acquired. It must
// be checked right before the request is sent, because a dial or a process
// pause can outlast the lease.
func (s Slot) Valid(now time.Duration) bool {
	cell := s.Server.worker.cell.Load()
	if cell == nil {
		return false
	}
	a := cell.authority.Load()
	return a.Term == s.Term && a.SlotsAt(now, len(s.Server.worker.slots)) >= s.allowed
}

// Release frees the slot. It must only be called if the response is complete
// or the request certainly did not run.
func (s Slot) Release() {
	s.Server.worker.releaseSlot(s.index)
}

// Abandon keeps the slot in use until a time, because the server may run the
// request until then. It is for requests that the server failed to answer: the
// slot counts neither against the caller's fair share nor as capacity.
func (s Slot) Abandon(until time.Duration) {
	s.Server.worker.abandonSlot(s.index, until, false)
}

// AbandonCharged is Abandon for a request that the caller cancelled: the slot
// counts against the caller's fair share. Otherwise a caller could exhaust the
// slots by cancelling requests early.
func (s Slot) AbandonCharged(until time.Duration) {
	s.Server.worker.abandonSlot(s.index, until, true)
}
