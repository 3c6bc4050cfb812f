package scheduler

const (
	// sameRackCost is the cost per replica of the same service in the rack.
	sameRackCost = 0.3
	// sameWorkerCost is the cost per replica of the same service on the worker.
	sameWorkerCost = 1.0
)

// spreadRule spreads the replicas of a service over racks and workers, so that the
// others survive the loss of one rack or worker.
type spreadRule struct{}

// Score returns the cost of the replicas that are already on the worker and in its
// rack.
func (spreadRule) Score(r *Round, t *Task, c *Candidate) float64 {
	if !t.Service {
		return 0
	}
	onWorker := 0
	for i := range c.Worker.Attempts {
		if c.Worker.Attempts[i].Job == t.Job {
			onWorker++
		}
	}
	for _, added := range c.Added {
		if added.Job == t.Job {
			onWorker++
		}
	}
	inRack := r.replicas(jobRack{t.Job, c.Worker.Rack})
	return weightFactor(r.Snapshot.weights.DataCentreChanges) * (sameRackCost*float64(inRack) + sameWorkerCost*float64(onWorker))
}

// Admit admits all tasks.
func (spreadRule) Admit(*Round, *Task) string { return "" }

// Reserve counts the placed replica.
func (spreadRule) Reserve(r *Round, t *Task, c *Candidate) {
	if t.Service {
		r.replicasAdded[jobRack{t.Job, c.Worker.Rack}]++
	}
}

// weightFactor converts a weight from 0 to 100 into a factor from 0.25 to 1.25, so
// that no objective is ignored.
func weightFactor(w int) float64 { return 0.25 + float64(w)/100 }
