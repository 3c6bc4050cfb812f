package scheduler

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// reservationTimeout is how long room is kept for a task after its evictions were
// decided. A checkpoint takes seconds.
const reservationTimeout = 15 * time.Second

// reservation keeps room on a worker for a task for which others are being evicted.
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

// placeReserved places the tasks whose room has become free and keeps the rest of
// the held room from other tasks. It returns the tasks it has dealt with.
func (r *Round) placeReserved(pending []Task) map[string]bool {
	done := map[string]bool{}
	if len(r.policy.reservations) == 0 {
		return done
	}
	holds := r.policy.reservations
	r.policy.reservations = make(map[string]reservation, len(holds))
	for i := range pending {
		t := &pending[i]
		h, held := holds[t.ID]
		at, known := r.Snapshot.positions[h.worker]
		if !held || !known || r.Now >= h.until {
			continue
		}
		c := r.candidate(at)
		if !c.Worker.hasStopping() || r.reject(t, &c) != "" {
			if h.need.Fits(c.Free) && r.reject(t, &c) == "" {
				done[t.ID] = true
				r.place(t, h.need, &c, false, placedReason(t, &c))
			}
			continue
		}
		done[t.ID] = true
		if h.need.Fits(c.Free) {
			r.place(t, h.need, &c, false, placedReason(t, &c))
			continue
		}
		r.policy.reservations[t.ID] = h
		r.root = r.root.set(r.Snapshot.size, at, c.Worker, c.Free.Sub(minResources(h.need, c.Free)))
		r.wait(t, Waiting, 0, fmt.Sprintf("pending: worker %s is being cleared of %s", h.worker, describeNeed(h.need)))
	}
	return done
}
