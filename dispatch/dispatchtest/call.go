package dispatchtest

import (
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// linkState is how calls reach a worker, or the store.
type linkState int

const (
	linkOK linkState = iota
	// linkCut: nothing arrives.
	linkCut
	// linkMute: calls are carried out, their answers are lost.
	linkMute
	// linkLate: calls have no answer and are carried out after the link is sound again.
	linkLate
)

// linkedWorker is a worker in a world, and how calls reach it.
type linkedWorker struct {
	*Worker
	index int
	link  linkState
	held  []func()
	// listedUntil is when the entry of a worker that is down expires, leavesAt the earliest
	// time at which a worker that drains leaves.
	listedUntil, leavesAt time.Duration
	// leaseEnd is when all leases that owners sent to the worker have expired for certain,
	// waitUntil the latest time until which an owner that was not told of them waits.
	leaseEnd, waitUntil time.Duration
}

// send carries a call, which may grant a lease, to a worker and its answer back: what do
// returns, WrongWorker if a worker with another id is at the address, or NoAnswer. A call whose
// connection is set up while the worker is down reaches the next incarnation.
func (c *World) send(o *owner, target dispatch.Target, deadline time.Duration, do func(w *linkedWorker) any, answered func(w *linkedWorker, answer any)) {
	w := c.workers[0]
	if target.Address == c.workers[1].Info.Address {
		w = c.workers[1]
	}
	if deadline > 0 && !o.unheard[target.Incarnation] {
		lease := leaseDuration
		if w.Info.Incarnation == target.Incarnation {
			lease = deadline - w.Clock(c.Now)
		}
		w.leaseEnd = max(w.leaseEnd, c.Now+dispatch.LeaseExpiryBound(lease))
	}
	sent := c.Now
	carryOut := func() any {
		if w.Info.Worker != target.Worker {
			return dispatch.WrongWorker
		}
		return do(w)
	}
	link := w.link
	if o.node.cutFrom[w.index] || !w.Up && link != linkOK {
		link = linkCut
	}
	if !w.Up && link == linkOK {
		c.connect(w, sent+callTimeout, carryOut, answered)
		return
	}
	switch link {
	case linkOK:
		c.after(time.Millisecond, func() {
			answer := carryOut()
			c.after(time.Millisecond, func() { answered(w, answer) })
		})
		return
	case linkMute:
		c.after(time.Millisecond, func() { carryOut() })
	case linkLate:
		w.held = append(w.held, func() {
			if c.Now-sent < latestCall {
				carryOut()
			}
		})
	}
	c.after(callTimeout, func() { answered(w, dispatch.NoAnswer) })
}

// connect carries out a call to a worker that is down once it is up, before a time.
func (c *World) connect(w *linkedWorker, until time.Duration, carryOut func() any, answered func(w *linkedWorker, answer any)) {
	c.after(Tick, func() {
		switch {
		case w.Up && w.link == linkOK:
			answer := carryOut()
			c.after(time.Millisecond, func() { answered(w, answer) })
		case c.Now >= until:
			answered(w, dispatch.NoAnswer)
		default:
			c.connect(w, until, carryOut, answered)
		}
	})
}

func (c *World) heartbeat(o *owner, a dispatch.Heartbeat) {
	sent := c.Now
	c.send(o, a.Target, a.Deadline, func(w *linkedWorker) any {
		if w.Info.Incarnation != a.Incarnation {
			// Leases and cursors are sent on connections of their incarnation only.
			a.Cursor, a.Deadline = 0, 0
		}
		c.acknowledge(w, o.epoch, a.Cursor)
		report, answer := w.Heartbeat(c.Now, o.epoch, a)
		if answer != dispatch.Done {
			return answer
		}
		return report
	}, func(_ *linkedWorker, answer any) {
		report, ok := answer.(workload.Report)
		if !o.ended {
			o.unheard[a.Incarnation] = !ok
		}
		if ok {
			c.step(o, dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: sent, Report: report})
			return
		}
		c.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: answer.(dispatch.Answer)})
	})
}

// acknowledge tells the checks of the successes that a cursor acknowledges.
func (c *World) acknowledge(w *linkedWorker, epoch, cursor int64) {
	for _, e := range w.Ends {
		if epoch < w.Epoch || e.Sequence > cursor || e.Outcome != workload.Succeeded || w.Voided[e.Sequence] {
			continue
		}
		c.checks.Acknowledged(c, e.RunID)
	}
}

func (c *World) start(o *owner, a dispatch.Start) {
	c.send(o, a.Target, a.Deadline, func(w *linkedWorker) any {
		if w.Info.Incarnation != a.Incarnation {
			return dispatch.WrongWorker
		}
		had := w.Runs[a.Run] != nil
		answer := w.Start(c.Now, o.epoch, a, &Run{ID: a.Run, Request: c.requests[a.Run.Task.Submission], StartedAt: c.Now, EndsAt: c.Now + endless})
		if answer == dispatch.NoRoom {
			c.Fail("run %d of %s finds no room on %s", a.Run.Run, a.Run.Task.Submission, w.Info.Worker)
		}
		if answer == dispatch.Done && !had {
			c.note("run %d of %s starts on %s", a.Run.Run, a.Run.Task.Submission, w.Info.Worker)
			c.checks.Started(c, a.Run)
		}
		return answer
	}, func(w *linkedWorker, answer any) {
		ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: answer.(dispatch.Answer)}
		if ev.Answer != dispatch.NoAnswer && ev.Answer != dispatch.WrongWorker {
			ev.Clock = w.Clock(c.Now)
		}
		c.step(o, ev)
	})
}
