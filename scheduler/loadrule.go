package scheduler

// acceleratorCost is the cost of taking a worker with free accelerators for a
// task that needs none.
const acceleratorCost = 0.2

// loadRule prefers lightly loaded workers and keeps accelerators for those who
// need them.
type loadRule struct{}

// Score returns the share of the processors held, squared, because queueing
// grows faster than load.
func (loadRule) Score(r *Round, t *Task, c *Candidate) float64 {
	held := 1 - ratio(c.Free.MilliCPU, c.Worker.Capacity.MilliCPU)
	cost := weightFactor(r.Snapshot.weights.TailLatency) * held * held
	if t.Requests.Accelerators == 0 && c.Free.Accelerators > 0 {
		cost += acceleratorCost
	}
	return cost
}
