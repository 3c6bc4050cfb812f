package routing

import (
	"sync/atomic"
	"time"
)

// MaxConnectionsPerOwner is the number of connections that one owner opens to a
// worker at most, so that four generations of owners fit in the worker's 64.
const MaxConnectionsPerOwner = 16

// Worker is the account of one worker: slots and connections in use. It
// survives table changes.
type Worker struct {
	id string
	// taken counts slots in use. It is raised before a place is marked and
	// lowered after the place is free, so it is never below the marked places.
	taken       atomic.Int32
	abandoned   atomic.Int32
	connections atomic.Int32
	places      []place
	cell        atomic.Pointer[Cell]
	absence     absence
}

func newWorker(id string, slots int) *Worker {
	return &Worker{id: id, places: make([]place, max(1, slots))}
}

// ID returns the VM id of the worker.
func (w *Worker) ID() string {
	return w.id
}

// SlotsInUse returns how many slots are in use, including those of abandoned
// requests whose release time has passed but that were not yet reused.
func (w *Worker) SlotsInUse() int {
	return int(w.taken.Load())
}

// FreeSlots returns how many slots may be taken now.
func (w *Worker) FreeSlots(now time.Duration) int {
	w.sweep(now)
	return max(0, w.limit(now)-w.SlotsInUse())
}

// Connections returns how many connections are open.
func (w *Worker) Connections() int {
	return int(w.connections.Load())
}

// AcquireConnection counts a new connection, or returns false at the limit.
func (w *Worker) AcquireConnection() bool {
	for {
		n := w.connections.Load()
		if n >= MaxConnectionsPerOwner {
			return false
		}
		if w.connections.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// ReleaseConnection ends the count of a connection.
func (w *Worker) ReleaseConnection() {
	w.connections.Add(-1)
}

func (w *Worker) limit(now time.Duration) int {
	cell := w.cell.Load()
	if cell == nil {
		return 0
	}
	return min(len(w.places), cell.slotsAt(now, len(w.places)))
}

// acquire takes a slot. It returns its place, or -1 if none is free, and the
// number of slots that are allowed now.
func (w *Worker) acquire(now time.Duration, account *serviceAccount, share *callerShare) (place, limit int) {
	w.sweep(now)
	limit = w.limit(now)
	for {
		n := w.taken.Load()
		if int(n) >= limit {
			return -1, limit
		}
		if w.taken.CompareAndSwap(n, n+1) {
			return w.mark(account, share), limit
		}
	}
}

// mark finds a free place. One exists, because taken is at most len(places)
// and counts at least every marked place; another goroutine can only delay
// the search.
func (w *Worker) mark(account *serviceAccount, share *callerShare) int {
	for {
		for i := range w.places {
			if w.places[i].state.CompareAndSwap(placeFree, placeBusy) {
				w.places[i].account = account
				w.places[i].share = share
				return i
			}
		}
	}
}

// sweep frees the slots of abandoned requests whose release time has passed
// and reports whether there were any.
func (w *Worker) sweep(now time.Duration) bool {
	if w.abandoned.Load() == 0 {
		return false
	}
	found := false
	for i := range w.places {
		p := &w.places[i]
		until := p.state.Load()
		if until < placeFirstTime || now < releaseTime(until) {
			continue
		}
		if p.state.CompareAndSwap(until, placeBusy) {
			w.abandoned.Add(-1)
			if p.share == nil {
				p.account.abandoned.Add(-1)
			}
			w.free(i)
			found = true
		}
	}
	return found
}

// free releases a place that this goroutine holds.
func (w *Worker) free(i int) {
	p := &w.places[i]
	p.account.inProgress.Add(-1)
	if p.share != nil {
		p.share.inProgress.Add(-1)
	}
	p.account = nil
	p.share = nil
	p.state.Store(placeFree)
	w.taken.Add(-1)
}

// abandon keeps a place taken until a time. If it is not charged, the place
// no longer counts against the caller's share and in admission.
func (w *Worker) abandon(i int, until time.Duration, charged bool) {
	p := &w.places[i]
	w.abandoned.Add(1)
	if !charged {
		p.account.abandoned.Add(1)
		p.share.inProgress.Add(-1)
		p.share = nil
	}
	p.state.Store(placeUntil(until))
}
