package routing

import "sync/atomic"

// Peer is another cell that serves a service, with its owner's free slots as
// last published less the requests sent there since.
type Peer struct {
	// VM and Address are the owner and its peer address.
	VM      string
	Address string
	// DataCentre and Cell name the cell.
	DataCentre string
	Cell       int
	free       *atomic.Int64
}

// FreeSlots returns the estimated number of free slots.
func (p *Peer) FreeSlots() int {
	return int(p.free.Load())
}

// spend counts a request sent to the peer, or returns false if no slot is free.
func (p *Peer) spend() bool {
	for {
		n := p.free.Load()
		if n <= 0 {
			return false
		}
		if p.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// ReleaseSlot ends the count of a request that the peer has completed. Its slot can
// be used again before the next summary: with 50 ms requests and a summary
// every 250 ms, the estimate would otherwise allow a fifth of the real rate.
func (p *Peer) ReleaseSlot() {
	p.free.Add(1)
}

// MarkExhausted sets the estimate to zero until the next summary: the peer
// rejected a request as overloaded or could not be reached.
func (p *Peer) MarkExhausted() {
	p.free.Store(0)
}
