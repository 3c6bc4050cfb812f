package scheduler

import (
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
)

// reserveForAgedTask reserves the free capacity of one worker for the oldest aged
// task that fits nowhere. Without the reservation, small tasks would take each
// amount of capacity as it becomes free. It reports whether the task got a worker.
func (r *Round) reserveForAgedTask(t *Task, need hostapi.Resources) bool {
	if r.agedReserved || r.Snapshot.size == 0 {
		return false
	}
	at, known := r.Snapshot.positions[r.policy.agedReservation.worker]
	if r.policy.agedReservation.task != t.ID || !known {
		at = r.workerWithMostFree(t, need)
	}
	if at < 0 {
		return false
	}
	c := r.candidate(at)
	r.agedReserved = true
	r.policy.agedReservation = agedReservation{task: t.ID, worker: c.Worker.ID}
	r.root = r.root.set(r.Snapshot.size, at, c.Worker, hostapi.Resources{})
	r.recordUnplaced(t, Waiting, 0, fmt.Sprintf("pending: reserving capacity on worker %s as it becomes free", c.Worker.ID))
	return true
}

// workerWithMostFree returns the position of the worker, out of a sample, whose
// free capacity covers the largest share of the need, or -1.
func (r *Round) workerWithMostFree(t *Task, need hostapi.Resources) int {
	size := r.Snapshot.size
	start := r.policy.random.IntN(size)
	best, bestShare := -1, 0.0
	for n := range min(size, r.policy.config.SampleSize) {
		at := (start + n) % size
		c := r.candidate(at)
		if c.Worker.Unreachable || c.Worker.Leaving || !need.Fits(c.Worker.Capacity) || r.reject(t, &c) != "" {
			continue
		}
		share := min(ratio(c.Free.MilliCPU, need.MilliCPU), ratio(c.Free.MemoryMiB, need.MemoryMiB))
		if best < 0 || share > bestShare {
			best, bestShare = at, share
		}
	}
	return best
}
