package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// schedulerSnapshot returns a snapshot of the cell for the policy.
func (r *cellRunner) schedulerSnapshot(now time.Duration, d *declaredWork) (*scheduler.Snapshot, error) {
	return r.schedulerSnapshotOf(now, d, r.machine.Tasks())
}

// schedulerSnapshotOf is schedulerSnapshot for callers that already have the
// machine's current tasks.
func (r *cellRunner) schedulerSnapshotOf(now time.Duration, d *declaredWork, list []tasks.View) (*scheduler.Snapshot, error) {
	byWorker := make(map[string][]scheduler.Attempt)
	for _, t := range list {
		if t.Worker == "" {
			continue
		}
		byWorker[t.Worker] = append(byWorker[t.Worker], r.schedulerAttempt(now, t, d))
	}
	var workers []scheduler.Worker
	for _, w := range r.machine.Workers() {
		workers = append(workers, r.schedulerWorker(w, byWorker[w.ID]))
	}
	s, err := scheduler.NewSnapshot(r.cell, r.machine.Offset(), workers)
	if err != nil {
		return nil, err
	}
	s = s.WithTeams(r.teamQuotas(d)).WithWeights(d.weights).WithDataCentre(d.schedulerDataCentre(now))
	return s.WithSummaries(r.host.otherCellSummaries(r.cell.Index)), nil
}

// schedulerWorker describes a worker for the policy. Reservations that belong
// to no known attempt are subtracted from its capacity, so that they are not
// placed over.
func (r *cellRunner) schedulerWorker(w tasks.WorkerView, attempts []scheduler.Attempt) scheduler.Worker {
	capacity := w.Capacity
	accounted := hostapi.Resources{}
	for i := range attempts {
		accounted = accounted.Add(attempts[i].Requests)
	}
	unaccounted := w.Reserved.Sub(accounted)
	if unaccounted.MilliCPU > 0 || unaccounted.MemoryMiB > 0 || unaccounted.Accelerators > 0 {
		capacity = capacity.Sub(unaccounted)
	}
	worker := scheduler.Worker{
		ID:          w.ID,
		Boot:        w.Boot,
		Capacity:    capacity,
		Unreachable: !w.Ready,
		Leaving:     w.Leaving,
		Attempts:    attempts,
	}
	if vm, ok := r.vmList.workers[w.ID]; ok {
		worker.Rack = vm.Rack
	}
	if observation := r.observations[w.ID]; observation != nil {
		worker.Load = latestLoad(observation.state)
	}
	return worker
}

// latestLoad returns the last measured load of a worker, or 0 if there is none.
func latestLoad(s hostapi.WorkerState) float64 {
	newest := time.Duration(-1)
	value := 0.0
	for _, u := range s.Usage {
		if u.MeasuredAt > newest {
			newest, value = u.MeasuredAt, u.Load
		}
	}
	return value
}

// schedulerAttempt describes the live attempt of a task for the policy.
func (r *cellRunner) schedulerAttempt(now time.Duration, t tasks.View, d *declaredWork) scheduler.Attempt {
	id := hostapi.AttemptID{Task: t.Task, Attempt: t.Attempt}
	running, known := r.runningAttempts[id]
	if !known {
		running = runningAttempt{since: now, worker: t.Worker}
	}
	a := scheduler.Attempt{
		ID:             id,
		Job:            jobKeyOfTask(t.Task),
		Requests:       t.Requests,
		StartedAt:      running.since,
		CheckpointAt:   max(running.since, r.lastCheckpointAt[id]),
		CheckpointCost: time.Second,
		Throttle:       r.throttleShares[id],
		Stopping:       t.Status == tasks.StatusEvicting,
	}
	if job := d.jobs[a.Job]; job != nil {
		a.Team = job.team
		a.Kind = job.work.TaskKind
		a.Service = job.work.Kind == api.KindService
		a.Urgent = job.urgent
		a.RunTime = job.work.RunTime
		a.Cancelled = job.work.Cancelled
		a.TargetRatio = r.targetRatio(job, t.Worker)
	}
	r.addWorkerReport(&a, t.Worker)
	return a
}

// targetRatio returns the recent p99 of a service replica divided by the
// service's target, or 0 when unknown.
func (r *cellRunner) targetRatio(job *declaredJob, worker string) float64 {
	if job.resource.Service == nil || r.vmList == nil {
		return 0
	}
	target := time.Duration(job.resource.Service.TargetP99Millis) * time.Millisecond
	p99 := r.host.latencyP99(job.work.Name, r.vmList.workers[worker].BackendAddress)
	if target <= 0 {
		return 0
	}
	return float64(p99) / float64(target)
}

// addWorkerReport adds the progress and usage that the worker last reported for
// an attempt.
func (r *cellRunner) addWorkerReport(a *scheduler.Attempt, worker string) {
	observation := r.observations[worker]
	if observation == nil {
		return
	}
	for i := range observation.state.Attempts {
		if observation.state.Attempts[i].ID == a.ID {
			a.Progress = observation.state.Attempts[i].Progress
		}
	}
	for i := range observation.state.Usage {
		if observation.state.Usage[i].ID == a.ID {
			a.Used = observation.state.Usage[i].Used
		}
	}
}

// teamQuotas returns the quotas of the teams in this cell: each cell in service
// has an equal share of the total quota.
func (r *cellRunner) teamQuotas(d *declaredWork) []scheduler.Team {
	cells := int64(max(1, d.cellsInService))
	list := make([]scheduler.Team, 0, len(d.teams))
	for _, t := range d.teams {
		quota := t.Team.Quota
		list = append(list, scheduler.Team{
			Name:      t.Name,
			MayBorrow: t.Team.MayBorrow,
			Quota: hostapi.Resources{
				MilliCPU:     quota.MilliCPU / cells,
				MemoryMiB:    quota.MemoryMiB / cells,
				Accelerators: (quota.Accelerators + cells - 1) / cells,
			},
		})
	}
	return list
}

// publishDue reports whether to publish a new view: at every tick in a small
// cell and after a change of ownership, otherwise after an interval that grows
// with the number of tasks.
func (r *cellRunner) publishDue(now time.Duration) bool {
	v := r.view()
	if v.term != r.term || v.ownState != r.ownership.OwnState {
		return true
	}
	return now-r.publishedAt >= cellTick*time.Duration(r.publishedTasks/tasksPerPublishTick)
}

// publish makes a new view of the cell available to other goroutines.
func (r *cellRunner) publish(now time.Duration) {
	v := &cellView{
		cell:           r.cell.Index,
		term:           r.term,
		ownState:       r.ownership.OwnState,
		offset:         r.machine.Offset(),
		builtAt:        now,
		tasks:          r.machine.Tasks(),
		workers:        r.machine.Workers(),
		pendingReasons: make(map[string]string, len(r.pendingReasons)),
		accepting:      now < r.placeUntil() && r.placingAllowed,
	}
	for id, reason := range r.pendingReasons {
		v.pendingReasons[id] = reason
	}
	r.publishedAt, r.publishedTasks = now, len(v.tasks)
	v.taskCounts = countTasks(v.tasks, v.pendingReasons)
	r.trackRunningAttempts(now, v.tasks)
	if d := r.host.declaredWork(); d != nil && r.vmList != nil {
		v.summary = r.summarize(now, d, v.tasks)
	}
	r.currentView.Store(v)
}

// summarize returns the summary of the cell for the owners of other cells.
func (r *cellRunner) summarize(now time.Duration, d *declaredWork, list []tasks.View) scheduler.CellSummary {
	s, err := r.schedulerSnapshotOf(now, d, list)
	if err != nil {
		return scheduler.CellSummary{Cell: r.cell, At: now}
	}
	return r.policy.Summarize(now, s, r.pendingTasks(now, d, list))
}

// trackRunningAttempts records when each attempt was first seen running and
// drops the state of attempts that have ended.
func (r *cellRunner) trackRunningAttempts(now time.Duration, list []tasks.View) {
	running := make(map[hostapi.AttemptID]runningAttempt)
	for _, t := range list {
		if !t.Running {
			continue
		}
		id := hostapi.AttemptID{Task: t.Task, Attempt: t.Attempt}
		attempt, known := r.runningAttempts[id]
		if !known {
			attempt = runningAttempt{since: now, worker: t.Worker}
		}
		running[id] = attempt
	}
	for id := range r.runningAttempts {
		if _, ok := running[id]; !ok {
			delete(r.lastCheckpointAt, id)
			delete(r.throttleShares, id)
			delete(r.lastUsageAt, id)
		}
	}
	r.runningAttempts = running
}

// observeUsage passes each usage report to the policy once.
func (r *cellRunner) observeUsage(observation *workerObservation) {
	var reports []hostapi.Usage
	for _, u := range observation.state.Usage {
		if u.MeasuredAt <= r.lastUsageAt[u.ID] {
			continue
		}
		r.lastUsageAt[u.ID] = u.MeasuredAt
		reports = append(reports, u)
	}
	if len(reports) == 0 {
		return
	}
	d := r.host.declaredWork()
	if d == nil {
		return
	}
	now := r.clock()
	r.policy.ObserveUsage(now, r.workerForUsage(now, observation, reports, d), reports)
}

// workerForUsage describes a worker with only those of its attempts that the
// reports are about. It reads no other task of the cell: with 45 workers that
// each answer once per second, reading all tasks took 3% of a core.
func (r *cellRunner) workerForUsage(now time.Duration, observation *workerObservation, reports []hostapi.Usage, d *declaredWork) *scheduler.Worker {
	w := &scheduler.Worker{ID: observation.state.Worker, Boot: observation.state.Boot, Capacity: observation.state.Capacity}
	for _, u := range reports {
		if t, ok := r.machine.Task(u.ID.Task); ok && t.Worker == w.ID {
			w.Attempts = append(w.Attempts, r.schedulerAttempt(now, t, d))
		}
	}
	return w
}
