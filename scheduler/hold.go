package scheduler

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// holdTime is how long room is kept for a task after its evictions were
// decided. A checkpoint takes seconds.
const holdTime = 15 * time.Second

// hold keeps room on a worker for a task for which others are being evicted.
type hold struct {
	worker string
	need   hostapi.Resources
	until  time.Duration
}

// clearing reports whether an attempt of the worker is being stopped.
func (w *Worker) clearing() bool {
	for i := range w.Attempts {
		if w.Attempts[i].Stopping {
			return true
		}
	}
	return false
}

// placeHeld places the tasks whose room has become free and keeps the rest of
// the held room from other tasks. It returns the tasks it has dealt with.
func (r *Round) placeHeld(pending []Task) map[string]bool {
	done := map[string]bool{}
	if len(r.policy.holds) == 0 {
		return done
	}
	holds := r.policy.holds
	r.policy.holds = make(map[string]hold, len(holds))
	for i := range pending {
		t := &pending[i]
		h, held := holds[t.ID]
		at, known := r.Snapshot.positions[h.worker]
		if !held || !known || r.Now >= h.until {
			continue
		}
		c := r.candidate(at)
		if !c.Worker.clearing() || r.reject(t, &c) != "" {
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
		r.policy.holds[t.ID] = h
		r.root = r.root.set(r.Snapshot.size, at, c.Worker, c.Free.Sub(minResources(h.need, c.Free)))
		r.wait(t, Waiting, 0, fmt.Sprintf("pending: worker %s is being cleared of %s", h.worker, needText(h.need)))
	}
	return done
}
