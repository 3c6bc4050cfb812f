package scheduler

const (
	// sameRackCost is the cost of each replica of the service in the rack.
	sameRackCost = 0.3
	// sameWorkerCost is the cost of each replica of the service on the worker.
	sameWorkerCost = 1.0
)

// spreadRule spreads the replicas of a service over racks and workers, so that
// the loss of one leaves the others.
type spreadRule struct{}

// Score returns the cost of the replicas that are already near.
func (spreadRule) Score(r *Round, t *Task, c *Candidate) float64 {
	if !t.Service {
		return 0
	}
	here := 0
	for i := range c.Worker.Attempts {
		if c.Worker.Attempts[i].Job == t.Job {
			here++
		}
	}
	for _, added := range c.Added {
		if added.Job == t.Job {
			here++
		}
	}
	rack := r.replicas(jobRack{t.Job, c.Worker.Rack})
	return weightFactor(r.Snapshot.weights.DataCentreChanges) * (sameRackCost*float64(rack) + sameWorkerCost*float64(here))
}

// Admit admits all tasks.
func (spreadRule) Admit(*Round, *Task) string { return "" }

// Reserve counts a placed replica.
func (spreadRule) Reserve(r *Round, t *Task, c *Candidate) {
	if t.Service {
		r.replicasAdded[jobRack{t.Job, c.Worker.Rack}]++
	}
}

// weightFactor turns a weightFactor from 0 to 100 into a factor from 0.25 to 1.25. No
// objective has no weightFactor at all.
func weightFactor(w int) float64 { return 0.25 + float64(w)/100 }
