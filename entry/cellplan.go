package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// runPlacementRound runs one round of placement over the pending tasks and
// passes its decisions to the machine, which checks each against its current
// state.
func (r *cellRunner) runPlacementRound(now time.Duration) {
	d := r.host.declaredWork()
	if d == nil || r.ownership.OwnState == "" || r.term == 0 {
		return
	}
	all := r.machine.Tasks()
	pending := r.pendingTasks(now, d, all)
	if len(pending) == 0 {
		return
	}
	snapshot, err := r.schedulerSnapshotOf(now, d, all)
	if err != nil {
		return
	}
	plan := r.policy.Place(now, snapshot, pending)
	for _, p := range plan.Placements {
		r.step(tasks.PlacementDecided{Task: p.Task, Worker: p.Worker, Requests: p.Requests})
	}
	for _, u := range plan.Unplaced {
		r.handleUnplaced(u, d)
	}
	for _, a := range plan.Actions {
		r.applyAction(now, a)
	}
}

// handleUnplaced stores why a task stays pending and requests a move if the
// policy prefers another cell.
func (r *cellRunner) handleUnplaced(u scheduler.UnplacedTask, d *declaredWork) {
	r.pendingReasons[u.Task] = u.Reason
	r.logParked(u)
	if u.MoveTo != nil && (d.placingAllowed() || d.dataCentreDeclared) {
		r.step(tasks.MoveRequested{Task: u.Task, To: toRecordCell(*u.MoveTo)})
	}
}

// runControlRound lets the policy act on the running attempts and requests
// periodic checkpoints.
func (r *cellRunner) runControlRound(now time.Duration) {
	d := r.host.declaredWork()
	if d == nil || r.term == 0 {
		return
	}
	snapshot, err := r.schedulerSnapshot(now, d)
	if err != nil {
		return
	}
	for _, a := range r.policy.Act(now, snapshot) {
		r.applyAction(now, a)
	}
	r.requestCheckpoints(now, d)
}

func (r *cellRunner) applyAction(now time.Duration, a scheduler.Action) {
	switch a.Kind {
	case scheduler.Throttle:
		r.throttle(now, a)
	case scheduler.Move, scheduler.Evict:
		r.log.Log(logevent.TaskEvicting, zap.String("task", a.ID.Task), zap.Int64("attempt", a.ID.Attempt), zap.String("worker", a.Worker), zap.String("reason", a.Reason))
		r.step(tasks.EvictRequested{Task: a.ID.Task, Attempt: a.ID.Attempt, To: toOptionalRecordCell(a.To)})
	case scheduler.Stop:
		// The machine stops attempts that are cancelled or no longer declared.
	}
}

// throttle sets the processor share of an attempt. There is no retry: if the
// command is lost, a later round decides again.
func (r *cellRunner) throttle(now time.Duration, a scheduler.Action) {
	observation := r.observations[a.Worker]
	if observation == nil || now >= r.ownership.PlaceUntil {
		return
	}
	command := hostapi.Command{Term: r.term, Boot: observation.state.Boot, Deadline: observation.workerDeadline(r.ownership.PlaceUntil, r.config.Drift)}
	r.throttleShares[a.ID] = a.Share
	r.log.Log(logevent.TaskThrottled, zap.String("task", a.ID.Task), zap.Int64("attempt", a.ID.Attempt), zap.String("worker", a.Worker), zap.Float64("share", a.Share), zap.String("reason", a.Reason))
	r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) {
		r.logRefusal(a.Worker, "throttle", a.ID, agent.Throttle(ctx, command, a.ID, a.Share))
	})
}

// requestCheckpoints requests the periodic checkpoints that are due.
func (r *cellRunner) requestCheckpoints(now time.Duration, d *declaredWork) {
	for id, running := range r.runningAttempts {
		job := d.jobs[jobKeyOfTask(id.Task)]
		if job == nil || job.resource.Job == nil {
			continue
		}
		last := max(running.since, r.lastCheckpointAt[id])
		if now-last < checkpointInterval {
			continue
		}
		r.lastCheckpointAt[id] = now
		r.step(tasks.CheckpointRequested{Task: id.Task, Attempt: id.Attempt})
	}
}

// pendingTasks returns the tasks that are waiting for placement, and drops the
// pending state of tasks that no longer wait.
func (r *cellRunner) pendingTasks(now time.Duration, d *declaredWork, all []tasks.View) []scheduler.Task {
	var list []scheduler.Task
	pendingSince := make(map[string]time.Duration)
	for _, t := range all {
		if t.Status != tasks.StatusPending || t.InFlight {
			continue
		}
		job := d.jobs[jobKeyOfTask(t.Task)]
		if job == nil {
			continue
		}
		since, known := r.pendingSince[t.Task]
		if !known {
			since = now
		}
		pendingSince[t.Task] = since
		list = append(list, r.schedulerTask(t, job, d, since))
	}
	r.pendingSince = pendingSince
	for id := range r.pendingReasons {
		if _, waits := pendingSince[id]; !waits {
			delete(r.pendingReasons, id)
		}
	}
	return list
}

func (r *cellRunner) schedulerTask(t tasks.View, job *declaredJob, d *declaredWork, since time.Duration) scheduler.Task {
	return scheduler.Task{
		ID:           t.Task,
		Job:          jobKeyOfTask(t.Task),
		Team:         job.team,
		Kind:         job.work.TaskKind,
		Service:      job.resource.Service != nil,
		Urgent:       job.urgent,
		Requests:     job.work.Requests,
		RunTime:      job.work.RunTime,
		PendingSince: since,
		Attempt:      t.Attempt + 1,
		Checkpoint:   t.Checkpoint,
		MaxRetries:   job.work.MaxRetries,
		Workers:      r.poolWorkers(job.pool, d),
	}
}

// poolWorkers returns the workers of a pool in this cell, or nil if all workers
// are allowed.
func (r *cellRunner) poolWorkers(name string, d *declaredWork) map[string]bool {
	if name == "" {
		return nil
	}
	pool, ok := d.pools[name]
	if !ok {
		return map[string]bool{}
	}
	if !poolIncludes(pool.DataCentres, r.cell.DataCentre) {
		return map[string]bool{}
	}
	if len(pool.Workers) == 0 {
		return nil
	}
	allowed := make(map[string]bool, len(pool.Workers))
	for _, id := range pool.Workers {
		allowed[id] = true
	}
	return allowed
}

// poolIncludes reports whether a list of a pool includes an id; an empty list
// includes every id.
func poolIncludes(list []string, id string) bool {
	if len(list) == 0 {
		return true
	}
	for _, entry := range list {
		if entry == id {
			return true
		}
	}
	return false
}

func toRecordCell(c scheduler.CellID) *recordpb.Cell {
	return &recordpb.Cell{DataCentre: c.DataCentre, Cell: int32(c.Index)}
}

func toOptionalRecordCell(c *scheduler.CellID) *recordpb.Cell {
	if c == nil {
		return nil
	}
	return toRecordCell(*c)
}
