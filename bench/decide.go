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
	// moveDelay is the time until another cell has adopted a task.
	moveDelay = 500 * time.Millisecond
	// nearlyDone is the progress from which an eviction counts as one of
	// nearly finished work.
	nearlyDone = 0.9
)

// decide runs one round of a cell's owner.
func (w *world) decide(c *cell) {
	if len(c.workers) == 0 {
		w.sendOn(c)
		return
	}
	s := c.snapshot(w)
	for _, a := range c.decider.Act(w.now, s) {
		w.act(c, s, a)
	}
	if w.logDown() {
		return
	}
	pending := make([]scheduler.Task, 0, len(c.pending))
	for _, t := range c.pending {
		pending = append(pending, t.pending())
	}
	plan := c.decider.Place(w.now, s, pending)
	for _, p := range plan.Placements {
		w.place(c, p)
	}
	for _, a := range plan.Actions {
		w.act(c, s, a)
	}
	for _, wait := range plan.Unplaced {
		w.wait(c, wait)
	}
}

// sendOn moves the tasks of a cell without workers to the next one.
func (w *world) sendOn(c *cell) {
	next := w.cells[(slices.Index(w.cells, c)+1)%len(w.cells)]
	next.pending = append(next.pending, c.pending...)
	c.pending = nil
}

// place applies a placement after checking it against the state of the moment.
func (w *world) place(c *cell, p scheduler.Placement) {
	at := slices.IndexFunc(c.pending, func(t *fakeTask) bool { return t.id == p.Task })
	current := c.snapshot(w)
	if err := (scheduler.SnapshotValidator{}).CheckPlacement(current, p); err != nil || at < 0 {
		w.metrics.stale++
		return
	}
	t := c.pending[at]
	c.pending = slices.Delete(c.pending, at, at+1)
	t.attempts++
	a := &fakeAttempt{
		id: hostapi.AttemptID{Task: t.id, Attempt: p.Attempt}, task: t, requests: p.Requests,
		startedAt: w.now, savedAt: w.now, progress: t.progress, checkpoint: t.progress, throttle: 1, slowdown: 1,
	}
	a.seen = view{progress: t.progress, savedAt: w.now}
	c.placed[p.Worker] = append(c.placed[p.Worker], a)
	w.after(startDelay, func() { w.start(c, p, a) })
}

// start starts an attempt at its worker, which refuses what exceeds its capacity.
func (w *world) start(c *cell, p scheduler.Placement, a *fakeAttempt) {
	f := c.workers[slices.IndexFunc(c.workers, func(f *fakeWorker) bool { return f.id == p.Worker })]
	if f.down || !f.assigned().Add(p.Requests).Fits(f.capacity) {
		if !f.down {
			w.metrics.refused++
		}
		c.forget(f.id, a.id)
		c.pending = append(c.pending, a.task)
		return
	}
	a.startedAt, a.savedAt = w.now, w.now
	f.attempts = append(f.attempts, a)
	t := a.task
	if t.job.service != nil {
		t.job.running++
	}
	if !t.started {
		t.started = true
		if t.job.class.Urgent {
			w.metrics.recordUrgent(w.now - t.since)
		} else if t.job.service == nil {
			w.metrics.oldest = max(w.metrics.oldest, w.now-t.since)
			if t.job.team != w.teams[0].Name {
				w.metrics.recordWait(w.now - t.since)
			}
		}
	}
}

// act applies an action. While the log is down nothing may move.
func (w *world) act(c *cell, s *scheduler.Snapshot, action scheduler.Action) {
	if w.logDown() && (action.Kind == scheduler.Move || action.Kind == scheduler.Evict) {
		return
	}
	if err := (scheduler.SnapshotValidator{}).CheckAction(s, action); err != nil {
		w.metrics.stale++
		return
	}
	list := c.placed[action.Worker]
	at := slices.IndexFunc(list, func(a *fakeAttempt) bool { return a.id == action.ID })
	if at < 0 || list[at].stopAt > 0 {
		return
	}
	a := list[at]
	a.moveTo = action.To
	a.kind = action.Kind
	switch action.Kind {
	case scheduler.Throttle:
		w.metrics.throttles++
		a.throttle, a.seen.throttle = action.Share, action.Share
		return
	case scheduler.Move:
		a.saving = a.task.job.service == nil
		a.stopAt = w.now + evictDelay + a.task.job.class.Checkpoint
		w.metrics.moves++
	case scheduler.Evict, scheduler.Stop:
		a.stopAt = w.now + evictDelay
	}
	if action.Kind != scheduler.Stop && a.task.job.service == nil {
		w.metrics.evictions++
		w.metrics.causes[causeOf(action)]++
		if a.progress >= nearlyDone {
			w.metrics.nearlyDone++
		}
	}
}

// wait moves a task to another cell or takes note that it was given up.
func (w *world) wait(c *cell, wait scheduler.UnplacedTask) {
	at := slices.IndexFunc(c.pending, func(t *fakeTask) bool { return t.id == wait.Task })
	if at < 0 {
		return
	}
	t := c.pending[at]
	switch {
	case wait.Verdict == scheduler.Parked || wait.Verdict == scheduler.Exhausted:
		if !t.given {
			t.given = true
			w.metrics.givenUp++
			if !t.job.impossible {
				w.metrics.wrongGivenUp++
			}
		}
		if wait.Verdict == scheduler.Exhausted {
			c.pending = slices.Delete(c.pending, at, at+1)
		}
	case wait.MoveTo != nil:
		c.pending = slices.Delete(c.pending, at, at+1)
		to := w.cell(*wait.MoveTo)
		w.after(moveDelay, func() {
			if !t.job.cancelled {
				to.pending = append(to.pending, t)
			}
		})
	}
}

// causeOf returns why an attempt is evicted, for the breakdown.
func causeOf(a scheduler.Action) string {
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
