package bench

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// cell is one cell with its owner's state.
type cell struct {
	id      scheduler.CellID
	dc      int
	decider Decider
	workers []*fakeWorker
	pending []*fakeTask
	// placed are the attempts that the owner knows of, by worker.
	placed  map[string][]*fakeAttempt
	version int64
}

// snapshot returns the owner's state of the cell.
func (c *cell) snapshot(w *world) *scheduler.Snapshot {
	workers := make([]scheduler.Worker, 0, len(c.workers))
	for _, f := range c.workers {
		workers = append(workers, c.worker(f))
	}
	c.version++
	s, err := scheduler.NewSnapshot(c.id, c.version, workers)
	if err != nil {
		panic(err)
	}
	return s.WithTeams(w.teams).WithDataCentre(w.centres[c.dc]).WithWeights(w.weights).WithSummaries(w.summaries)
}

// worker returns the owner's state of a worker.
func (c *cell) worker(f *fakeWorker) scheduler.Worker {
	w := scheduler.Worker{ID: f.id, Rack: f.rack, Boot: f.boot, Capacity: f.capacity, Load: f.seenLoad, Unreachable: f.down}
	for _, a := range c.placed[f.id] {
		j := a.task.job
		w.Attempts = append(w.Attempts, scheduler.Attempt{
			ID: a.id, Job: j.id, Team: j.team, Kind: j.class.Kind, Service: j.service != nil, Urgent: j.class.Urgent,
			Requests: a.requests, Used: a.seen.used, StartedAt: a.startedAt, CheckpointAt: a.seen.savedAt,
			CheckpointCost: j.class.Checkpoint, RunTime: j.runTime, Progress: a.seen.progress,
			Throttle: a.seen.throttle, TargetRatio: a.seen.ratio, Cancelled: j.cancelled, Stopping: a.stopAt > 0,
		})
	}
	return w
}

// forget removes an attempt from the owner's state.
func (c *cell) forget(worker string, id hostapi.AttemptID) {
	list := c.placed[worker]
	for i, a := range list {
		if a.id == id {
			c.placed[worker] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
