package scheduler

// acceleratorCost is the cost of placing a task that needs no accelerators on a
// worker that has free ones.
const acceleratorCost = 0.2

// loadRule prefers lightly loaded workers and keeps workers with accelerators for
// tasks that need them.
type loadRule struct{}

// Score returns the square of the allocated share of the processors, because
// queueing grows faster than load.
func (loadRule) Score(r *Round, t *Task, c *Candidate) float64 {
	allocated := 1 - ratio(c.Free.MilliCPU, c.Worker.Capacity.MilliCPU)
	cost := weightFactor(r.Snapshot.weights.TailLatency) * allocated * allocated
	if t.Requests.Accelerators == 0 && c.Free.Accelerators > 0 {
		cost += acceleratorCost
	}
	return cost
}
