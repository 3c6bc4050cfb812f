package bench

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// cell is one cell with the state that its owner keeps.
type cell struct {
	id      scheduler.CellID
	dc      int
	decider Decider
	workers []*fakeWorker
	pending []*fakeTask
	// placed holds the attempts in the owner's state, by worker id.
	placed  map[string][]*fakeAttempt
	version int64
}

// snapshot returns the owner's state of the cell.
func (c *cell) snapshot(sim *simulation) *scheduler.Snapshot {
	workers := make([]scheduler.Worker, 0, len(c.workers))
	for _, f := range c.workers {
		workers = append(workers, c.worker(f))
	}
	c.version++
	s, err := scheduler.NewSnapshot(c.id, c.version, workers)
	if err != nil {
		panic(err)
	}
	return s.WithTeams(sim.teams).WithDataCentre(sim.dataCentres[c.dc]).WithWeights(sim.weights).WithSummaries(sim.summaries)
}

// worker returns the owner's state of a worker.
func (c *cell) worker(f *fakeWorker) scheduler.Worker {
	w := scheduler.Worker{ID: f.id, Rack: f.rack, Boot: f.boot, Capacity: f.capacity, Load: f.reportedLoad, Unreachable: f.down}
	for _, a := range c.placed[f.id] {
		j := a.task.job
		w.Attempts = append(w.Attempts, scheduler.Attempt{
			ID: a.id, Job: j.id, Team: j.team, Kind: j.class.Kind, Service: j.service != nil, Urgent: j.class.Urgent,
			Requests: a.requests, Used: a.reported.used, StartedAt: a.startedAt, CheckpointAt: a.reported.checkpointAt,
			CheckpointCost: j.class.CheckpointTime, RunTime: j.runTime, Progress: a.reported.progress,
			Throttle: a.reported.throttle, TargetRatio: a.reported.targetRatio, Cancelled: j.cancelled, Stopping: a.stopAt > 0,
		})
	}
	return w
}

// removeAttempt removes an attempt from the owner's state.
func (c *cell) removeAttempt(worker string, id hostapi.AttemptID) {
	list := c.placed[worker]
	for i, a := range list {
		if a.id == id {
			c.placed[worker] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
