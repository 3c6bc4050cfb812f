package scheduler

import (
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
)

// placeTask places one task or records why it waits.
func (r *Round) placeTask(t *Task) {
	if verdict, until, reason := r.policy.learned.retryState(r.policy.config, r.Now, t); verdict != Waiting {
		r.recordUnplaced(t, verdict, until, reason)
		return
	}
	for _, plugin := range r.policy.plugins.reserves {
		if reason := plugin.Admit(r, t); reason != "" {
			r.recordUnplaced(t, Waiting, 0, "pending: "+reason)
			return
		}
	}
	need := r.policy.need(r.Snapshot, t)
	class := equivalenceClass{job: t.Job, need: need}
	reason, known := r.noWorkerReasons[class]
	if !known {
		var best Candidate
		best, reason = r.search(t, need)
		if best.Worker != nil {
			r.place(t, need, &best, r.policy.recordProbe(r, &best), placedReason(t, &best))
			return
		}
		r.noWorkerReasons[class] = reason
	}
	r.handleNoWorker(t, need, reason)
}

// placedReason returns the reason text of a placement.
func placedReason(t *Task, c *Candidate) string {
	if t.Checkpoint != "" {
		return fmt.Sprintf("placed on worker %s to resume from checkpoint %s", c.Worker.ID, t.Checkpoint)
	}
	return "placed on worker " + c.Worker.ID
}

// search returns the worker with the lowest cost among a sample of the workers
// with enough free capacity, or the reason why there is none. It scores at most
// SampleSize workers from a random position on, so that its cost doesn't grow with
// the number of workers.
func (r *Round) search(t *Task, need hostapi.Resources) (Candidate, string) {
	size := r.Snapshot.size
	if size == 0 {
		return Candidate{}, "the cell has no workers"
	}
	start := r.policy.random.IntN(size)
	var best Candidate
	bestCost, scored, rejected := 0.0, 0, ""
	for at, wrapped := start, false; scored < r.policy.config.SampleSize; at++ {
		at = r.root.nextFitting(size, at, need)
		if at < 0 && !wrapped {
			wrapped, at = true, -1
			continue
		}
		if at < 0 || (wrapped && at >= start) {
			break
		}
		c := r.candidate(at)
		if reason := r.reject(t, &c); reason != "" {
			rejected = reason
			continue
		}
		scored++
		if cost := r.cost(t, &c); best.Worker == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.Worker == nil && rejected != "" {
		return best, fmt.Sprintf("no worker %s", rejected)
	}
	return best, r.shortageReason(need)
}

// shortageReason returns which part of the need no worker covers.
func (r *Round) shortageReason(need hostapi.Resources) string {
	free := r.root.free
	switch {
	case need.Accelerators > free.Accelerators:
		return fmt.Sprintf("no worker with %d accelerators free", need.Accelerators)
	case need.MemoryMiB > free.MemoryMiB:
		return fmt.Sprintf("no worker with %d MiB of memory free", need.MemoryMiB)
	case need.MilliCPU > free.MilliCPU:
		return fmt.Sprintf("no worker with %.1f cores free", float64(need.MilliCPU)/1000)
	}
	return fmt.Sprintf("no worker with %s free at once", describeNeed(need))
}

// reject returns the reason of the first filter that rejects the worker, or "".
func (r *Round) reject(t *Task, c *Candidate) string {
	for _, filter := range r.policy.plugins.filters {
		if reason := filter.Reject(r, t, c); reason != "" {
			return reason
		}
	}
	return ""
}

// cost returns the sum of all scores.
func (r *Round) cost(t *Task, c *Candidate) float64 {
	cost := 0.0
	for _, score := range r.policy.plugins.scores {
		cost += score.Score(r, t, c)
	}
	return cost
}
