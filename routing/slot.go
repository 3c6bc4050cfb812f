package routing

import "time"

// Slot is one slot of a worker, taken for one request at one server. Exactly
// one of Release and Abandon must be called, once.
type Slot struct {
	// Server is where the request is to be sent.
	Server *Server
	// Term is the term of the cell when the slot was taken.
	Term  int64
	place int
}

// Valid reports whether the cell may still use the slot: the term is the same
// and the authority allows slots. It must be checked before the request is
// sent, because a dial or a pause can outlast the lease.
func (s Slot) Valid(now time.Duration) bool {
	cell := s.Server.worker.cell.Load()
	if cell == nil {
		return false
	}
	a := cell.authority.Load()
	return a.Term == s.Term && a.SlotsAt(now, len(s.Server.worker.places)) > 0
}

// Release frees the slot. The response is complete or the request certainly
// did not run.
func (s Slot) Release() {
	s.Server.worker.free(s.place)
}

// Abandon keeps the slot taken until a time, because the server may run the
// request until then.
func (s Slot) Abandon(until time.Duration) {
	s.Server.worker.abandon(s.place, until)
}
