package dispatch_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Times of the modelled deployment. They keep the order of the real ones, so that few steps
// of a course pass each of them.
const (
	courseLease          = 4 * time.Second
	courseHandoverLease  = 5 * time.Second
	courseLeaseAuthority = 3 * time.Second
	courseAuthority      = 5 * time.Second
	courseTimeout        = 500 * time.Millisecond
	// courseLatest is the age from which a call is not carried out any more.
	courseLatest  = 9 * time.Second
	courseTick    = 100 * time.Millisecond
	courseEndless = 1000 * time.Hour
)

// coursePredecessorExpiry is how long an owner that knows nothing waits.
var coursePredecessorExpiry = dispatch.LeaseExpiryBound(courseLeaseAuthority + courseLease)

var courseRequest = hostapi.Resources{MilliCPU: 4000, MemoryMiB: 100}

// courseLink is how calls reach a worker, or the store.
type courseLink int

const (
	linkOK courseLink = iota
	// linkCut: nothing arrives.
	linkCut
	// linkMute: calls are carried out, their answers are lost.
	linkMute
	// linkLate: calls have no answer and are carried out after the link is sound again.
	linkLate
)

type courseWorker struct {
	*simWorker
	index int
	link  courseLink
	held  []func()
	// listedUntil is when the entry of a worker that is down expires.
	listedUntil time.Duration
	// leaseEnd is when all leases that owners sent to the worker have expired for certain,
	// waitUntil the latest time until which an owner that was not told of them waits.
	leaseEnd, waitUntil time.Duration
}

// courseNode is a node that can own the cell.
type courseNode struct {
	index     int
	storeless bool
	// cutFrom are the workers that only this node does not reach.
	cutFrom [2]bool
	// seen are the times at which the process learned of epochs.
	seen map[int64]time.Duration
}

// courseOwner is the owner of one epoch. It goes on until it learns of a newer one.
type courseOwner struct {
	epoch    int64
	node     *courseNode
	ledger   *ledger.Ledger
	machine  *dispatch.Machine
	previous *courseOwner
	// previousSole: no owner before the previous one could grant leases any more.
	previousSole       bool
	openedAt, joinedAt time.Duration
	// told: the owner knows what became of the previous one. waits: waitUntil has been set.
	told, waits bool
	ended       bool
	endedAt     time.Duration
	leases      map[workload.Incarnation]dispatch.LeaseExpiry
	// killed: the process ended, and its node is up. lost: nobody can tell what became of it.
	killed, lost bool
	queue        []dispatch.Append
	// unanswered is the number of appends at the head of queue that have taken effect.
	unanswered int
}

// courseWorld is a cell with two nodes, two workers and a store in virtual time. Its
// environment is as free as the platform's: calls are lost, late or carried out without an
// answer, and an owner knows of its predecessors what it was told.
type courseWorld struct {
	now     time.Duration
	queue   events
	serial  int
	tasks   []workload.TaskID
	steps   []workload.Step
	log     []*ledgerpb.Record
	store   courseLink
	nodes   [2]*courseNode
	workers [2]*courseWorker
	owner   *courseOwner
	// ownedAt is when an owner could last append records.
	ownedAt time.Duration
	started map[workload.TaskID]int64
	acked   map[workload.TaskID]bool
	trace   []string
	problem string
}

func newCourseWorld(steps ...workload.Step) *courseWorld {
	c := &courseWorld{now: time.Minute, started: make(map[workload.TaskID]int64), acked: make(map[workload.TaskID]bool), steps: steps}
	for i := range c.nodes {
		c.nodes[i] = &courseNode{index: i, seen: make(map[int64]time.Duration)}
		c.workers[i] = &courseWorker{simWorker: newSimWorker(fmt.Sprintf("w%d", i), 16000), index: i}
		c.workers[i].slow = 0.02
	}
	for i, step := range steps {
		id := fmt.Sprintf("s%d", i)
		c.tasks = append(c.tasks, workload.TaskID{Submission: id})
		c.log = append(c.log, ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 50, SlackFactor: 1.5},
		}))
	}
	c.openEpoch(c.nodes[0])
	c.after(courseTick, c.tick)
	c.run(800 * time.Millisecond)
	c.trace = nil
	return c
}

func (c *courseWorld) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.queue, event{at: c.now + d, serial: c.serial, action: do})
}

// run lets time pass.
func (c *courseWorld) run(d time.Duration) {
	until := c.now + d
	for c.problem == "" && len(c.queue) > 0 && c.queue[0].at <= until {
		ev := heap.Pop(&c.queue).(event)
		c.now = ev.at
		c.advance()
		ev.action()
		for _, id := range c.tasks {
			if n := c.runsOf(id); n > 1 {
				c.fail("%d runs of %s at once", n, id.Submission)
			}
		}
	}
	c.now = until
	c.advance()
}

func (c *courseWorld) advance() {
	for _, w := range c.workers {
		n := w.sequence
		w.advance(c.now)
		if w.sequence > n {
			c.note("the lease of %s lapses", w.info.Worker)
		}
	}
}

func (c *courseWorld) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%v ", c.now-time.Minute)+fmt.Sprintf(format, args...))
}

func (c *courseWorld) fail(format string, args ...any) {
	if c.problem == "" {
		c.problem = fmt.Sprintf(format, args...)
	}
	c.note(format, args...)
}

func (c *courseWorld) runsOf(id workload.TaskID) int {
	n := 0
	for _, w := range c.workers {
		for run := range w.runs {
			if w.up && run.Task == id {
				n++
			}
		}
	}
	return n
}

// tick is the clock of all processes.
func (c *courseWorld) tick() {
	c.after(courseTick, c.tick)
	for _, n := range c.nodes {
		if n.seen[c.owner.epoch] == 0 && !n.storeless {
			n.seen[c.owner.epoch] = c.now
		}
	}
	for o := c.owner; o != nil; o = o.previous {
		if o.ended {
			continue
		}
		if o == c.owner && c.reachesStore(o.node) {
			o.joinedAt = c.now
		}
		if c.now-o.joinedAt >= courseAuthority {
			c.end(o)
			continue
		}
		if c.reachesStore(o.node) && (c.now/courseTick)%4 == 0 {
			c.list(o)
		}
		c.step(o, dispatch.Tick{Now: time.UnixMilli(c.now.Milliseconds())})
		c.pump(o)
	}
	if c.owner.ended {
		c.takeOver()
	}
	c.ask(c.owner)
	if !c.owner.ended && c.store == linkOK && !c.owner.node.storeless {
		c.ownedAt = c.now
	}
}

func (c *courseWorld) list(o *courseOwner) {
	var list []workload.Worker
	for _, w := range c.workers {
		if w.up || c.now < w.listedUntil {
			list = append(list, w.info)
		}
	}
	c.step(o, dispatch.WorkersListed{Workers: list, All: list})
}

// takeOver opens an epoch at a node that reaches the store, the other one if possible. It
// reports whether there is such a node.
func (c *courseWorld) takeOver() bool {
	for _, n := range []*courseNode{c.nodes[1-c.owner.node.index], c.owner.node} {
		if c.reachesStore(n) {
			c.openEpoch(n)
			return true
		}
	}
	return false
}

func (c *courseWorld) reachesStore(n *courseNode) bool { return c.store != linkCut && !n.storeless }

func (c *courseWorld) openEpoch(n *courseNode) {
	o := &courseOwner{epoch: 1, node: n, ledger: ledger.New(), previous: c.owner, openedAt: c.now, joinedAt: c.now, told: c.owner == nil}
	for _, r := range c.log {
		o.ledger.Apply(r)
	}
	if o.previous != nil {
		o.epoch, o.previousSole = o.previous.epoch+1, o.ledger.Owner().Sole
	}
	opened := ledger.OpenedRecord(ledger.Owner{Epoch: o.epoch, VM: "a", PeerAddress: "a"})
	c.log = append(c.log, opened)
	o.ledger.Apply(opened)
	c.owner = o
	o.machine = dispatch.New(dispatch.Config{
		Epoch: o.epoch, Lease: courseLease, HandoverLease: courseHandoverLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: coursePredecessorExpiry, AuthorityDuration: courseAuthority,
		LeaseLimit: func() time.Duration { return max(0, courseLeaseAuthority+courseLease-(c.now-o.joinedAt)) },
		EpochAge:   func(epoch int64) time.Duration { return n.age(epoch, c.now) },
	}, o.ledger, c.now, time.UnixMilli(c.now.Milliseconds()))
	c.note("epoch %d", o.epoch)
	c.list(o)
	if o.previous == nil {
		c.step(o, dispatch.PredecessorResigned{Sole: true})
	}
	c.ask(o)
}

// age returns for how long, at least, an epoch has been open.
func (n *courseNode) age(epoch int64, now time.Duration) time.Duration {
	age := time.Duration(0)
	for seen, at := range n.seen {
		if seen >= epoch {
			age = max(age, now-at)
		}
	}
	return age
}

// end ends an ownership. Its process keeps the leases for its successor.
func (c *courseWorld) end(o *courseOwner) {
	if !o.ended {
		o.ended, o.endedAt, o.leases = true, c.now, o.machine.Leases(c.now)
		c.note("epoch %d ends", o.epoch)
	}
}

// ask asks the previous owner for its leases, or learns that its process has ended.
func (c *courseWorld) ask(o *courseOwner) {
	p := o.previous
	if o.told || p == nil || o.ended {
		return
	}
	if p.lost || p.node != o.node && (p.node.storeless || o.node.storeless) {
		c.allowWait(o, coursePredecessorExpiry)
		return
	}
	o.told = true
	answer := dispatch.PredecessorResigned{Sole: o.previousSole}
	if p.killed {
		answer.Expiry = max(0, dispatch.LeaseExpiryBound(courseLease)+courseTimeout-(c.now-p.endedAt))
		if !o.previousSole {
			answer.Expiry = max(answer.Expiry, coursePredecessorExpiry-o.node.age(p.epoch, c.now))
		}
		c.allowWait(o, answer.Expiry)
	} else {
		c.end(p)
		answer.Leases = make(map[workload.Incarnation]time.Duration)
		for incarnation, expiry := range p.leases {
			answer.Leases[incarnation] = max(0, p.endedAt+expiry.All-c.now)
		}
	}
	c.after(2*time.Millisecond, func() { c.step(o, answer) })
}

// allowWait notes how long an owner that was not told of the leases may wait for them. Of a
// worker that is recorded as silent it knows more: the wait goes on where the previous owner
// left off, but for the time without an owner that reaches the store.
func (c *courseWorld) allowWait(o *courseOwner, expiry time.Duration) {
	if o.waits {
		return
	}
	o.waits = true
	for _, w := range c.workers {
		until := c.now + expiry
		if _, recorded := o.ledger.Silence(w.info.Incarnation); recorded {
			until = min(until, max(w.waitUntil, w.leaseEnd, c.ownedAt)+c.now-c.ownedAt+time.Second)
		}
		w.waitUntil = max(w.waitUntil, until)
	}
}

// handOver ends the newest ownership as its node gives the cell up: it goes on extending the
// leases until they last for the lease of a hand-over.
func (c *courseWorld) handOver() {
	o := c.owner
	lease := min(courseHandoverLease, courseLeaseAuthority+courseLease-(c.now-o.joinedAt))
	heartbeats := o.machine.HandOver(c.now, lease)
	c.end(o)
	for i, earlier := range []time.Duration{max(0, lease-courseLease), 0} {
		c.after(time.Duration(i)*time.Second, func() {
			for _, h := range heartbeats {
				h.Deadline -= earlier
				c.heartbeat(o, h)
			}
		})
	}
}

func (c *courseWorld) step(o *courseOwner, ev dispatch.Event) {
	if o.ended {
		return
	}
	for _, action := range o.machine.Step(c.now, ev) {
		switch a := action.(type) {
		case dispatch.Append:
			o.queue = append(o.queue, a)
			c.after(time.Millisecond, func() { c.pump(o) })
		case dispatch.Heartbeat:
			c.heartbeat(o, a)
		case dispatch.Start:
			c.start(o, a)
		case dispatch.Stop:
			c.send(o, a.Target, 0, func(w *courseWorker) any { return w.stop(o.epoch, a) }, func(_ *courseWorker, answer any) {
				c.step(o, dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: answer.(dispatch.Answer)})
			})
		case dispatch.StepDown:
			c.end(o)
		}
	}
}

// pump appends what an owner has queued, one batch at a time.
func (c *courseWorld) pump(o *courseOwner) {
	if o.ended || len(o.queue) == 0 || !c.reachesStore(o.node) {
		return
	}
	if o != c.owner {
		c.end(o)
		return
	}
	if o.unanswered == 0 {
		o.unanswered = len(o.queue)
		for _, a := range o.queue {
			c.log = append(c.log, a.Records...)
		}
	}
	if c.store == linkMute {
		return
	}
	batch := o.queue[:o.unanswered]
	o.queue, o.unanswered = slices.Clone(o.queue[o.unanswered:]), 0
	for _, a := range batch {
		c.step(o, dispatch.Appended{ID: a.ID})
	}
}

// send carries a call, which may grant a lease, to a worker and its answer back: what do
// returns, WrongWorker if another worker is at the address, or NoAnswer.
func (c *courseWorld) send(o *courseOwner, target dispatch.Target, deadline time.Duration, do func(w *courseWorker) any, answered func(w *courseWorker, answer any)) {
	w := c.workers[0]
	if target.Address == c.workers[1].info.Address {
		w = c.workers[1]
	}
	if deadline > 0 {
		lease := courseLease
		if w.info.Incarnation == target.Incarnation {
			lease = deadline - w.clock(c.now)
		}
		w.leaseEnd = max(w.leaseEnd, c.now+dispatch.LeaseExpiryBound(lease))
	}
	sent := c.now
	carryOut := func() any {
		if w.info.Incarnation != target.Incarnation {
			return dispatch.WrongWorker
		}
		return do(w)
	}
	link := w.link
	if !w.up || o.node.cutFrom[w.index] {
		link = linkCut
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
			if c.now-sent < courseLatest {
				carryOut()
			}
		})
	}
	c.after(courseTimeout, func() { answered(w, dispatch.NoAnswer) })
}

func (c *courseWorld) heartbeat(o *courseOwner, a dispatch.Heartbeat) {
	sent := c.now
	c.send(o, a.Target, a.Deadline, func(w *courseWorker) any {
		c.acknowledge(w, o.epoch, a.Cursor)
		report, answer := w.heartbeat(c.now, o.epoch, a)
		if answer != dispatch.Done {
			return answer
		}
		return report
	}, func(_ *courseWorker, answer any) {
		if report, ok := answer.(workload.Report); ok {
			c.step(o, dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: sent, Report: report})
			return
		}
		c.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: answer.(dispatch.Answer)})
	})
}

// acknowledge notes the successes that a cursor acknowledges.
func (c *courseWorld) acknowledge(w *courseWorker, epoch, cursor int64) {
	for _, e := range w.ends {
		if epoch < w.epoch || e.Sequence > cursor || e.Outcome != workload.Succeeded || w.voided[e.Sequence] {
			continue
		}
		c.acked[e.Task] = true
		if c.started[e.Task] > e.Run {
			c.fail("run %d of %s started after the end of run %d, which is acknowledged", c.started[e.Task], e.Task.Submission, e.Run)
		}
	}
}

func (c *courseWorld) start(o *courseOwner, a dispatch.Start) {
	c.send(o, a.Target, a.Deadline, func(w *courseWorker) any {
		had := w.runs[a.Run] != nil
		answer := w.start(c.now, o.epoch, a, &simRun{id: a.Run, request: courseRequest, startedAt: c.now, endsAt: c.now + courseEndless})
		if answer == dispatch.Done && !had {
			c.note("run %d of %s starts on %s", a.Run.Run, a.Run.Task.Submission, w.info.Worker)
			c.started[a.Run.Task] = max(c.started[a.Run.Task], a.Run.Run)
			if c.acked[a.Run.Task] {
				c.fail("%s is done and started", a.Run.Task.Submission)
			}
		}
		return answer
	}, func(w *courseWorker, answer any) {
		ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: answer.(dispatch.Answer)}
		if ev.Answer != dispatch.NoAnswer && ev.Answer != dispatch.WrongWorker {
			ev.Clock = w.clock(c.now)
		}
		c.step(o, ev)
	})
}
