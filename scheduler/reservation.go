package scheduler

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// reservationTimeout is how long capacity is reserved for a task after evictions
// were decided for it. A checkpoint takes seconds.
const reservationTimeout = 15 * time.Second

// reservation is capacity on a worker that is kept for a task while other attempts
// are evicted for it.
type reservation struct {
	worker string
	need   hostapi.Resources
	until  time.Duration
}

// hasStopping reports whether an attempt of the worker is being stopped.
func (w *Worker) hasStopping() bool {
	for i := range w.Attempts {
		if w.Attempts[i].Stopping {
			return true
		}
	}
	return false
}

// placeReserved places the tasks whose reserved capacity has become free and keeps
// the other reservations unavailable to other tasks. It returns the ids of the
// tasks that it placed or recorded as waiting.
func (r *Round) placeReserved(pending []Task) map[string]bool {
	handled := map[string]bool{}
	if len(r.policy.reservations) == 0 {
		return handled
	}
	reservations := r.policy.reservations
	r.policy.reservations = make(map[string]reservation, len(reservations))
	for i := range pending {
		t := &pending[i]
		kept, reserved := reservations[t.ID]
		at, known := r.Snapshot.positions[kept.worker]
		if !reserved || !known || r.Now >= kept.until {
			continue
		}
		c := r.candidate(at)
		if !c.Worker.hasStopping() || r.reject(t, &c) != "" {
			if kept.need.Fits(c.Free) && r.reject(t, &c) == "" {
				handled[t.ID] = true
				r.place(t, kept.need, &c, false, placedReason(t, &c))
			}
			continue
		}
		handled[t.ID] = true
		if kept.need.Fits(c.Free) {
			r.place(t, kept.need, &c, false, placedReason(t, &c))
			continue
		}
		r.policy.reservations[t.ID] = kept
		r.root = r.root.set(r.Snapshot.size, at, c.Worker, c.Free.Sub(minResources(kept.need, c.Free)))
		r.recordUnplaced(t, Waiting, 0, fmt.Sprintf("pending: worker %s is freeing %s", kept.worker, describeNeed(kept.need)))
	}
	return handled
}
