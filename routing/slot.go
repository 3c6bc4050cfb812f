package routing

import "time"

// Slot is one slot of a worker, taken for one request at one server. Exactly
// one of Release, Abandon and AbandonCharged must be called, once.
type Slot struct {
	// Server is where the request is to be sent.
	Server *Server
	// Term is the term of the cell when the slot was taken.
	Term  int64
	place int
	// limit is the number of slots that the authority allowed then.
	limit int
}

// Valid reports whether the slot may still be used: the term is the same and
// the authority allows no fewer slots than when it was taken. It must be checked before the request is
// sent, because a dial or a pause can outlast the lease.
func (s Slot) Valid(now time.Duration) bool {
	cell := s.Server.worker.cell.Load()
	if cell == nil {
		return false
	}
	a := cell.authority.Load()
	return a.Term == s.Term && a.SlotsAt(now, len(s.Server.worker.places)) >= s.limit
}

// Release frees the slot. The response is complete or the request certainly
// did not run.
func (s Slot) Release() {
	s.Server.worker.free(s.place)
}

// Abandon keeps the slot taken until a time, because the server may run the
// request until then. The server is to blame: the slot counts neither against
// the caller's fair share nor as capacity.
func (s Slot) Abandon(until time.Duration) {
	s.Server.worker.abandon(s.place, until, false)
}

// AbandonCharged is Abandon for a request that the caller gave up: the slot
// counts against the caller's fair share, or a caller could use up all slots
// by leaving early.
func (s Slot) AbandonCharged(until time.Duration) {
	s.Server.worker.abandon(s.place, until, true)
}
