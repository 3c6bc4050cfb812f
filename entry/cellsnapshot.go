package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// schedulerSnapshot builds the policy's picture of the cell.
func (r *cellRunner) schedulerSnapshot(now time.Duration, d *declaredWork) (*scheduler.Snapshot, error) {
	return r.schedulerSnapshotOf(now, d, r.machine.Tasks())
}

// schedulerSnapshotOf is snapshot for the present list of the machine's tasks.
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

// schedulerWorker describes a worker. Reservations that belong to no known
// attempt are taken off its capacity, so that they are never given away.
func (r *cellRunner) schedulerWorker(w tasks.WorkerView, attempts []scheduler.Attempt) scheduler.Worker {
	capacity := w.Capacity
	known := hostapi.Resources{}
	for i := range attempts {
		known = known.Add(attempts[i].Requests)
	}
	rest := w.Reserved.Sub(known)
	if rest.MilliCPU > 0 || rest.MemoryMiB > 0 || rest.Accelerators > 0 {
		capacity = capacity.Sub(rest)
	}
	out := scheduler.Worker{
		ID:          w.ID,
		Boot:        w.Boot,
		Capacity:    capacity,
		Unreachable: !w.Ready,
		Leaving:     w.Leaving,
		Attempts:    attempts,
	}
	if vm, ok := r.workerList.workers[w.ID]; ok {
		out.Rack = vm.Rack
	}
	if seen := r.observations[w.ID]; seen != nil {
		out.Load = latestLoad(seen.state)
	}
	return out
}

// latestLoad returns the newest measured latestLoad of a worker.
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

func (r *cellRunner) schedulerAttempt(now time.Duration, t tasks.View, d *declaredWork) scheduler.Attempt {
	id := hostapi.AttemptID{Task: t.Task, Attempt: t.Attempt}
	mark, known := r.runningAttempts[id]
	if !known {
		mark = runningAttempt{since: now, worker: t.Worker}
	}
	a := scheduler.Attempt{
		ID:             id,
		Job:            jobKeyOfTask(t.Task),
		Requests:       t.Requests,
		StartedAt:      mark.since,
		CheckpointAt:   max(mark.since, r.lastCheckpointAt[id]),
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

// targetRatio returns the recent p99 of a service replica over the service's
// target, 0 when unknown.
func (r *cellRunner) targetRatio(job *declaredJob, worker string) float64 {
	if job.resource.Service == nil || r.workerList == nil {
		return 0
	}
	target := time.Duration(job.resource.Service.TargetP99Millis) * time.Millisecond
	p99 := r.host.latencyP99(job.work.Name, r.workerList.workers[worker].BackendAddress)
	if target <= 0 {
		return 0
	}
	return float64(p99) / float64(target)
}

// addWorkerReport adds what the worker last said about an attempt.
func (r *cellRunner) addWorkerReport(a *scheduler.Attempt, worker string) {
	seen := r.observations[worker]
	if seen == nil {
		return
	}
	for i := range seen.state.Attempts {
		if seen.state.Attempts[i].ID == a.ID {
			a.Progress = seen.state.Attempts[i].Progress
		}
	}
	for i := range seen.state.Usage {
		if seen.state.Usage[i].ID == a.ID {
			a.Used = seen.state.Usage[i].Used
		}
	}
}

// teamQuotas returns the quotas of the teamQuotas in this cell: an equal share of the
// whole quota for each cell in service.
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

// publishDue reports whether the picture is to be made again: at every tick in
// a small cell and after a change of ownership, otherwise after an interval that
// grows with the number of tasks.
func (r *cellRunner) publishDue(now time.Duration) bool {
	v := r.view()
	if v.term != r.term || v.ownState != r.ownership.OwnState {
		return true
	}
	return now-r.publishedAt >= cellTick*time.Duration(r.publishedTasks/tasksPerPublishTick)
}

// publish makes the newest picture of the cell available to other goroutines.
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
	if d := r.host.declaredWork(); d != nil && r.workerList != nil {
		v.summary = r.summarize(now, d, v.tasks)
	}
	r.currentView.Store(v)
}

// summarize describes the cell to other cells.
func (r *cellRunner) summarize(now time.Duration, d *declaredWork, list []tasks.View) scheduler.CellSummary {
	s, err := r.schedulerSnapshotOf(now, d, list)
	if err != nil {
		return scheduler.CellSummary{Cell: r.cell, At: now}
	}
	return scheduler.Summarize(now, s, r.pendingTasks(now, d, list))
}

// trackRunningAttempts keeps when each attempt was first seen running, and forgets
// what has ended.
func (r *cellRunner) trackRunningAttempts(now time.Duration, list []tasks.View) {
	running := make(map[hostapi.AttemptID]runningAttempt)
	for _, t := range list {
		if !t.Running {
			continue
		}
		id := hostapi.AttemptID{Task: t.Task, Attempt: t.Attempt}
		mark, known := r.runningAttempts[id]
		if !known {
			mark = runningAttempt{since: now, worker: t.Worker}
		}
		running[id] = mark
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
func (r *cellRunner) observeUsage(seen *workerObservation) {
	var fresh []hostapi.Usage
	for _, u := range seen.state.Usage {
		if u.MeasuredAt <= r.lastUsageAt[u.ID] {
			continue
		}
		r.lastUsageAt[u.ID] = u.MeasuredAt
		fresh = append(fresh, u)
	}
	if len(fresh) == 0 {
		return
	}
	d := r.host.declaredWork()
	if d == nil {
		return
	}
	now := r.clock()
	r.policy.ObserveUsage(now, r.workerForUsage(now, seen, fresh, d), fresh)
}

// workerForUsage describes a worker with those of its attempts that the reports
// are about. It does not look at the other tasks of the cell: at 45 workers
// that answer once a second that took 3% of a core.
func (r *cellRunner) workerForUsage(now time.Duration, seen *workerObservation, reports []hostapi.Usage, d *declaredWork) *scheduler.Worker {
	w := &scheduler.Worker{ID: seen.state.Worker, Boot: seen.state.Boot, Capacity: seen.state.Capacity}
	for _, u := range reports {
		if t, ok := r.machine.Task(u.ID.Task); ok && t.Worker == w.ID {
			w.Attempts = append(w.Attempts, r.schedulerAttempt(now, t, d))
		}
	}
	return w
}
