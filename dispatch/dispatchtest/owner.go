package dispatchtest

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
	"github.com/cactusreel/cactusreel/workload"
)

// predecessorExpiry is how long an owner that knows nothing waits.
var predecessorExpiry = dispatch.LeaseExpiryBound(leaseAuthority + leaseDuration)

// node is a node that can own the cell.
type node struct {
	index     int
	storeless bool
	// cutFrom are the workers that only this node does not reach, witnessesCut the witnesses.
	cutFrom      [2]bool
	witnessesCut [witnessCount]bool
	// ends are those that the process knows from owners that could not record them.
	ends []dispatch.KnownEnd
	// seen are the times at which the process learned of epochs.
	seen map[int64]time.Duration
}

// owner is the owner of one epoch. It goes on until it learns of a newer one.
type owner struct {
	epoch    int64
	node     *node
	ledger   *ledger.Ledger
	machine  *dispatch.Machine
	previous *owner
	// previousSole: no owner before the previous one could grant leases any more.
	previousSole       bool
	openedAt, joinedAt time.Duration
	// witnesses are the processes that confirm the owner, called those of the last round of
	// calls.
	witnesses *witness.Owner
	called    [witnessCount]bool
	// confirmedAt is when a process last confirmed the owner.
	confirmedAt time.Duration
	// reported are the leases in the newest report.
	reported map[workload.Incarnation]time.Duration
	// inquiry asks the witnesses of the previous owner, if it had recorded any.
	inquiry *inquiry
	// unheard are the workers whose last heartbeat before the end of the ownership failed. They
	// may be granted no lease, so nobody may wait for one that they are granted.
	unheard map[workload.Incarnation]bool
	// handingOver: leases are extended after the end of the ownership.
	handingOver bool
	// told: the owner knows what became of the previous one. waits: waitUntil has been set.
	told, waits bool
	ended       bool
	endedAt     time.Duration
	leases      map[workload.Incarnation]dispatch.LeaseExpiry
	// killed: the process ended, and its node is up. lost: nobody can tell what became of it.
	killed, lost bool
	// endsLearned is the number of the node's ends that the machine was told.
	endsLearned int
	queue       []dispatch.Append
	// unanswered is the number of appends at the head of queue that have taken effect.
	unanswered int
}

// takeOver opens an epoch at a node that reaches the store, the other one if possible. It
// reports whether there is such a node.
func (c *World) takeOver() bool {
	for _, n := range []*node{c.nodes[1-c.owner.node.index], c.owner.node} {
		if c.reachesStore(n) {
			c.openEpoch(n)
			return true
		}
	}
	return false
}

func (c *World) reachesStore(n *node) bool { return c.store != linkCut && !n.storeless }

func (c *World) openEpoch(n *node) {
	o := &owner{epoch: 1, node: n, ledger: ledger.New(), previous: c.owner, openedAt: c.Now, joinedAt: c.Now, told: c.owner == nil, witnesses: witness.NewOwner(), unheard: make(map[workload.Incarnation]bool)}
	for _, r := range c.log {
		o.ledger.Apply(r)
	}
	if o.previous != nil {
		o.epoch, o.previousSole = o.previous.epoch+1, o.ledger.Owner().Sole
		if named := o.ledger.Witnesses(); len(named.All) > 0 {
			o.inquiry = &inquiry{Inquiry: witness.NewInquiry(named), named: named}
		}
	}
	opened := ledger.OpenedRecord(ledger.Owner{Epoch: o.epoch, VM: "a", PeerAddress: "a"})
	c.log = append(c.log, opened)
	o.ledger.Apply(opened)
	c.owner = o
	o.machine = dispatch.New(dispatch.Config{
		Epoch: o.epoch, Lease: leaseDuration, HandoverLease: handoverLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: predecessorExpiry, AuthorityDuration: authority, StopTime: c.stopTime,
		LeaseLimit: func() time.Duration {
			joined := max(0, o.joinedAt+leaseAuthority+leaseDuration-c.Now)
			return min(joined, o.witnesses.LeaseLimit(c.Now, leaseDuration))
		},
		LeaseExpiryLimit: o.witnesses.WorkerLimit,
		EpochAge:         func(epoch int64) time.Duration { return n.age(epoch, c.Now) },
	}, o.ledger, c.Now, time.UnixMilli(c.Now.Milliseconds()))
	c.note("epoch %d", o.epoch)
	c.list(o)
	if o.previous == nil {
		c.step(o, dispatch.PredecessorResigned{Sole: true})
	}
	c.ask(o)
	c.callWitnesses(o)
}

// age returns for how long, at least, an epoch has been open.
func (n *node) age(epoch int64, now time.Duration) time.Duration {
	age := time.Duration(0)
	for seen, at := range n.seen {
		if seen >= epoch {
			age = max(age, now-at)
		}
	}
	return age
}

// end ends an ownership. Its process keeps the leases for its successor.
func (c *World) end(o *owner) {
	if !o.ended {
		o.ended, o.endedAt, o.leases = true, c.Now, o.machine.Leases(c.Now)
		o.node.ends = append(o.node.ends, o.machine.UnrecordedEnds()...)
		c.note("epoch %d ends", o.epoch)
	}
}

// ask asks the previous owner for its leases, or learns that its process has ended.
func (c *World) ask(o *owner) {
	p := o.previous
	if o.told || p == nil || o.ended {
		return
	}
	if p.lost || p.node != o.node && (p.node.storeless || o.node.storeless) {
		expiry := predecessorExpiry
		if last, complete := c.askWitnesses(o); complete {
			learned := c.withEarlierOwners(o, confirmedExpiry-(c.Now-last))
			c.after(2*time.Millisecond, func() { c.step(o, dispatch.PredecessorResigned{Expiry: learned}) })
			expiry = c.withEarlierOwners(o, confirmedExpiry-(c.Now-c.latestConfirmation(o)))
		}
		c.allowWait(o, expiry)
		return
	}
	o.told = true
	answer := dispatch.PredecessorResigned{Sole: o.previousSole}
	if p.killed {
		answer.Expiry = c.withEarlierOwners(o, dispatch.LeaseExpiryBound(leaseDuration)+callTimeout-(c.Now-p.endedAt))
		c.allowWait(o, answer.Expiry)
	} else {
		c.end(p)
		if p.node != o.node {
			o.node.ends = append(o.node.ends, p.node.ends...)
		}
		answer.Leases = make(map[workload.Incarnation]time.Duration)
		for incarnation, expiry := range p.leases {
			answer.Leases[incarnation] = max(0, p.endedAt+expiry.All-c.Now)
		}
	}
	c.after(2*time.Millisecond, func() { c.step(o, answer) })
}

// withEarlierOwners returns when the leases of the previous owner, which expire after a time,
// and of those before it have expired.
func (c *World) withEarlierOwners(o *owner, expiry time.Duration) time.Duration {
	if !o.previousSole {
		expiry = max(expiry, predecessorExpiry-o.node.age(o.previous.epoch, c.Now))
	}
	return max(0, expiry)
}

// allowWait notes how long an owner that was not told of the leases may wait for them. Of a
// worker that is recorded as silent it knows more: the wait goes on where the previous owner
// left off, but for the time without an owner that reaches the store.
func (c *World) allowWait(o *owner, expiry time.Duration) {
	if o.waits {
		return
	}
	o.waits = true
	for _, w := range c.workers {
		until := c.Now + expiry
		if left, reported := o.reportedLeft(w.Info.Incarnation); reported {
			until = min(until, c.Now+left)
		}
		if _, recorded := o.ledger.Silence(w.Info.Incarnation); recorded {
			until = min(until, max(w.waitUntil, w.leaseEnd, c.ownedAt)+c.Now-c.ownedAt+time.Second)
		}
		w.waitUntil = max(w.waitUntil, until)
	}
}

// reportedLeft returns the time from the report of the previous owner's leases, if a majority of its
// witnesses told of it just now, until those of a worker have expired.
func (o *owner) reportedLeft(worker workload.Incarnation) (time.Duration, bool) {
	if o.inquiry == nil {
		return 0, false
	}
	left, reported := o.inquiry.reported[worker]
	return left, reported
}

// handOver ends the newest ownership as its node gives the cell up: it goes on extending the
// leases until they last for the lease of a hand-over.
func (c *World) handOver() {
	o := c.owner
	lease := min(handoverLease, leaseAuthority+leaseDuration-(c.Now-o.joinedAt))
	heartbeats, began := o.machine.HandOver(c.Now, lease), c.Now
	c.end(o)
	o.reported = nil
	o.witnesses.EndReports()
	c.callRound(o)
	o.handingOver = true
	var extend func()
	extend = func() {
		grantable := min(leaseDuration, o.witnesses.LeaseLimit(c.Now, leaseDuration))
		withheld := max(0, lease-grantable-(c.Now-began))
		if o.witnesses.LimitsWorkers() {
			withheld = lease
		}
		for _, h := range heartbeats {
			h.Deadline -= max(0, withheld-h.Shorter)
			c.heartbeat(o, h)
		}
		if o.handingOver = withheld > 0 && c.Now+handOverInterval-began < lease; o.handingOver {
			c.after(handOverInterval, extend)
		}
	}
	extend()
}

func (c *World) step(o *owner, ev dispatch.Event) {
	if o.ended {
		return
	}
	for _, action := range o.machine.Step(c.Now, ev) {
		switch a := action.(type) {
		case dispatch.Append:
			o.queue = append(o.queue, a)
			c.after(time.Millisecond, func() { c.pump(o) })
		case dispatch.Heartbeat:
			c.heartbeat(o, a)
		case dispatch.Start:
			c.start(o, a)
		case dispatch.Stop:
			c.send(o, a.Target, 0, func(w *linkedWorker) any { return w.Stop(o.epoch, a) }, func(_ *linkedWorker, answer any) {
				c.step(o, dispatch.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Run: a.Run, Answer: answer.(dispatch.Answer)})
			})
		case dispatch.WitnessesRecorded:
			o.witnesses.Recorded(a.Number)
		case dispatch.StepDown:
			c.end(o)
		}
	}
}

// pump appends what an owner has queued, one batch at a time.
func (c *World) pump(o *owner) {
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
