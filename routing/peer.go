package routing

import "sync/atomic"

// Peer is a cell of another owner that runs a service. The estimate of its
// free slots is the last published number less the requests sent there since.
type Peer struct {
	// VM is the cell's owner and Address is the owner's peer address.
	VM      string
	Address string
	// DataCentre and Cell identify the cell.
	DataCentre string
	Cell       int
	freeSlots  *atomic.Int64
}

// FreeSlots returns the estimated number of free slots.
func (p *Peer) FreeSlots() int {
	return int(p.freeSlots.Load())
}

// reserveSlot lowers the estimate by one slot for a request to the peer, or
// returns false if no slot is free.
func (p *Peer) reserveSlot() bool {
	for {
		n := p.freeSlots.Load()
		if n <= 0 {
			return false
		}
		if p.freeSlots.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// ReleaseSlot returns the slot of a request that the peer has completed, so
// that it can be used again before the next summary. With 50 ms requests and a
// summary every 250 ms, the estimate would otherwise allow only a fifth of the
// actual rate.
func (p *Peer) ReleaseSlot() {
	p.freeSlots.Add(1)
}

// MarkExhausted sets the estimate to zero until the next summary: the peer
// rejected a request as overloaded or could not be reached.
func (p *Peer) MarkExhausted() {
	p.freeSlots.Store(0)
}
