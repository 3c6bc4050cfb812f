package routing

import (
	"sync/atomic"
	"time"
)

// MaxConnectionsPerOwner is the maximum number of connections that one owner
// opens to a worker. Four successive owners fit in the worker's limit of 64.
const MaxConnectionsPerOwner = 16

// Worker tracks the slots and connections of one worker that are in use. It
// survives routing table updates.
type Worker struct {
	id string
	// slotsInUse is raised before a slot becomes busy and lowered after the
	// slot is free, so it is never below the number of busy slots.
	slotsInUse  atomic.Int32
	abandoned   atomic.Int32
	connections atomic.Int32
	slots       []workerSlot
	cell        atomic.Pointer[Cell]
	absence     absence
}

func newWorker(id string, slots int) *Worker {
	return &Worker{id: id, slots: make([]workerSlot, max(1, slots))}
}

// ID returns the VM id of the worker.
func (w *Worker) ID() string {
	return w.id
}

// SlotsInUse returns how many slots are in use, including those of abandoned
// requests whose release time has passed but that were not yet reclaimed.
func (w *Worker) SlotsInUse() int {
	return int(w.slotsInUse.Load())
}

// FreeSlots returns how many slots may be acquired now.
func (w *Worker) FreeSlots(now time.Duration) int {
	w.reclaimExpiredSlots(now)
	return max(0, w.slotLimit(now)-w.SlotsInUse())
}

// Connections returns the number of acquired connections.
func (w *Worker) Connections() int {
	return int(w.connections.Load())
}

// AcquireConnection counts a new connection. It returns false if
// MaxConnectionsPerOwner is reached.
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

// ReleaseConnection gives back a connection that AcquireConnection counted.
func (w *Worker) ReleaseConnection() {
	w.connections.Add(-1)
}

// slotLimit returns how many of the worker's slots the authority allows now.
func (w *Worker) slotLimit(now time.Duration) int {
	cell := w.cell.Load()
	if cell == nil {
		return 0
	}
	return min(len(w.slots), cell.slotsAt(now, len(w.slots)))
}

// acquireSlot acquires a slot. It returns the slot's index, or -1 if none is
// free, and the number of slots that the authority allows now.
func (w *Worker) acquireSlot(now time.Duration, service *serviceState, share *callerShare) (index, limit int) {
	w.reclaimExpiredSlots(now)
	limit = w.slotLimit(now)
	for {
		n := w.slotsInUse.Load()
		if int(n) >= limit {
			return -1, limit
		}
		if w.slotsInUse.CompareAndSwap(n, n+1) {
			return w.claimFreeSlot(service, share), limit
		}
	}
}

// claimFreeSlot marks a free slot as busy and returns its index. One exists,
// because slotsInUse, which includes the caller's slot, is at most len(slots)
// and counts every busy slot; other goroutines can only delay the search.
func (w *Worker) claimFreeSlot(service *serviceState, share *callerShare) int {
	for {
		for i := range w.slots {
			if w.slots[i].state.CompareAndSwap(slotFree, slotBusy) {
				w.slots[i].service = service
				w.slots[i].share = share
				return i
			}
		}
	}
}

// reclaimExpiredSlots frees the slots of abandoned requests whose release time
// has passed and reports whether there were any.
func (w *Worker) reclaimExpiredSlots(now time.Duration) bool {
	if w.abandoned.Load() == 0 {
		return false
	}
	found := false
	for i := range w.slots {
		slot := &w.slots[i]
		until := slot.state.Load()
		if until < slotFirstTime || now < releaseTime(until) {
			continue
		}
		if slot.state.CompareAndSwap(until, slotBusy) {
			w.abandoned.Add(-1)
			if slot.share == nil {
				slot.service.abandoned.Add(-1)
			}
			w.releaseSlot(i)
			found = true
		}
	}
	return found
}

// releaseSlot frees a busy slot that this goroutine holds.
func (w *Worker) releaseSlot(i int) {
	slot := &w.slots[i]
	slot.service.inProgress.Add(-1)
	if slot.share != nil {
		slot.share.inProgress.Add(-1)
	}
	slot.service = nil
	slot.share = nil
	slot.state.Store(slotFree)
	w.slotsInUse.Add(-1)
}

// abandonSlot keeps a slot in use until a time. Unless it is charged to the
// caller, the slot no longer counts against the caller's share or in admission.
func (w *Worker) abandonSlot(i int, until time.Duration, charged bool) {
	slot := &w.slots[i]
	w.abandoned.Add(1)
	if !charged {
		slot.service.abandoned.Add(1)
		slot.share.inProgress.Add(-1)
		slot.share = nil
	}
	slot.state.Store(abandonedState(until))
}
