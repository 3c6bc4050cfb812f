package bench

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

const (
	// startDelay is the time from a decision to the start at the worker: the
	// placement is appended to the log and read back, then sent.
	startDelay = 2 * tick
	// moveDelay is the time from a decision until the target cell has adopted
	// the task.
	moveDelay = 500 * time.Millisecond
	// nearlyDone is the progress from which an evicted attempt counts as nearly
	// finished.
	nearlyDone = 0.9
)

// decide runs one scheduling round of a cell's owner.
func (sim *simulation) decide(c *cell) {
	if len(c.workers) == 0 {
		sim.forwardPending(c)
		return
	}
	s := c.snapshot(sim)
	for _, a := range c.decider.Act(sim.now, s) {
		sim.applyAction(c, s, a)
	}
	if sim.logDown() {
		return
	}
	pending := make([]scheduler.Task, 0, len(c.pending))
	for _, t := range c.pending {
		pending = append(pending, t.schedulerTask())
	}
	plan := c.decider.Place(sim.now, s, pending)
	for _, p := range plan.Placements {
		sim.applyPlacement(c, p)
	}
	for _, a := range plan.Actions {
		sim.applyAction(c, s, a)
	}
	for _, unplaced := range plan.Unplaced {
		sim.handleUnplaced(c, unplaced)
	}
}

// forwardPending moves the pending tasks of a cell without workers to the next
// cell.
func (sim *simulation) forwardPending(c *cell) {
	next := sim.cells[(slices.Index(sim.cells, c)+1)%len(sim.cells)]
	next.pending = append(next.pending, c.pending...)
	c.pending = nil
}

// applyPlacement applies a placement after it has validated it against the
// current state of the cell.
func (sim *simulation) applyPlacement(c *cell, p scheduler.Placement) {
	at := slices.IndexFunc(c.pending, func(t *fakeTask) bool { return t.id == p.Task })
	current := c.snapshot(sim)
	if err := (scheduler.SnapshotValidator{}).CheckPlacement(current, p); err != nil || at < 0 {
		sim.metrics.rejectedDecisions++
		return
	}
	t := c.pending[at]
	c.pending = slices.Delete(c.pending, at, at+1)
	t.attempts++
	a := &fakeAttempt{
		id: hostapi.AttemptID{Task: t.id, Attempt: p.Attempt}, task: t, requests: p.Requests,
		startedAt: sim.now, checkpointAt: sim.now, progress: t.progress, checkpointProgress: t.progress, throttle: 1, slowdown: 1,
	}
	a.reported = attemptReport{progress: t.progress, checkpointAt: sim.now}
	c.placed[p.Worker] = append(c.placed[p.Worker], a)
	sim.schedule(startDelay, func() { sim.startAttempt(c, p, a) })
}

// startAttempt starts an attempt at its worker, which refuses it if its capacity
// would be exceeded.
func (sim *simulation) startAttempt(c *cell, p scheduler.Placement, a *fakeAttempt) {
	f := c.workers[slices.IndexFunc(c.workers, func(f *fakeWorker) bool { return f.id == p.Worker })]
	if f.down || !f.assigned().Add(p.Requests).Fits(f.capacity) {
		if !f.down {
			sim.metrics.refusedStarts++
		}
		c.removeAttempt(f.id, a.id)
		c.pending = append(c.pending, a.task)
		return
	}
	a.startedAt, a.checkpointAt = sim.now, sim.now
	f.attempts = append(f.attempts, a)
	t := a.task
	if t.job.service != nil {
		t.job.running++
	}
	if !t.started {
		t.started = true
		if t.job.class.Urgent {
			sim.metrics.recordUrgentDelay(sim.now - t.submittedAt)
		} else if t.job.service == nil {
			sim.metrics.maxStartDelay = max(sim.metrics.maxStartDelay, sim.now-t.submittedAt)
			if t.job.team != sim.teams[0].Name {
				sim.metrics.recordOrdinaryDelay(sim.now - t.submittedAt)
			}
		}
	}
}

// applyAction applies an action. While the log is unavailable, moves and
// evictions are skipped.
func (sim *simulation) applyAction(c *cell, s *scheduler.Snapshot, action scheduler.Action) {
	if sim.logDown() && (action.Kind == scheduler.Move || action.Kind == scheduler.Evict) {
		return
	}
	if err := (scheduler.SnapshotValidator{}).CheckAction(s, action); err != nil {
		sim.metrics.rejectedDecisions++
		return
	}
	list := c.placed[action.Worker]
	at := slices.IndexFunc(list, func(a *fakeAttempt) bool { return a.id == action.ID })
	if at < 0 || list[at].stopAt > 0 {
		return
	}
	a := list[at]
	a.moveTo = action.To
	a.lastAction = action.Kind
	switch action.Kind {
	case scheduler.Throttle:
		sim.metrics.throttles++
		a.throttle, a.reported.throttle = action.Share, action.Share
		return
	case scheduler.Move:
		a.checkpointing = a.task.job.service == nil
		a.stopAt = sim.now + evictDelay + a.task.job.class.CheckpointTime
		sim.metrics.moves++
	case scheduler.Evict, scheduler.Stop:
		a.stopAt = sim.now + evictDelay
	}
	if action.Kind != scheduler.Stop && a.task.job.service == nil {
		sim.metrics.evictions++
		sim.metrics.evictionCauses[evictionCause(action)]++
		if a.progress >= nearlyDone {
			sim.metrics.nearlyDone++
		}
	}
}

// handleUnplaced moves a task to another cell, or counts a task that the policy
// has given up.
func (sim *simulation) handleUnplaced(c *cell, unplaced scheduler.UnplacedTask) {
	at := slices.IndexFunc(c.pending, func(t *fakeTask) bool { return t.id == unplaced.Task })
	if at < 0 {
		return
	}
	t := c.pending[at]
	switch {
	case unplaced.Verdict == scheduler.Parked || unplaced.Verdict == scheduler.Exhausted:
		if !t.givenUp {
			t.givenUp = true
			sim.metrics.givenUp++
			if !t.job.impossible {
				sim.metrics.wrongGivenUp++
			}
		}
		if unplaced.Verdict == scheduler.Exhausted {
			c.pending = slices.Delete(c.pending, at, at+1)
		}
	case unplaced.MoveTo != nil:
		c.pending = slices.Delete(c.pending, at, at+1)
		to := sim.cell(*unplaced.MoveTo)
		sim.schedule(moveDelay, func() {
			if !t.job.cancelled {
				to.pending = append(to.pending, t)
			}
		})
	}
}

// evictionCause returns the cause of an eviction, by which the table breaks
// evictions down.
func evictionCause(a scheduler.Action) string {
	switch {
	case strings.Contains(a.Reason, "urgent"):
		return "urgent"
	case strings.Contains(a.Reason, "quota"):
		return "quota"
	case strings.Contains(a.Reason, "target"):
		return "target"
	}
	return "drain"
}
