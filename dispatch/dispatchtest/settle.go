package dispatchtest

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// endFaults ends the faults, but for workers that are down or not reached as long as another
// one can take the tasks.
func (c *World) endFaults() {
	c.endCuts()
	c.store = linkOK
	c.witnessLinks, c.lateAnswers = allWitnesses, false
	for _, w := range c.workers {
		if !c.workers[0].usable() && !c.workers[1].usable() {
			c.changeLink(w, w.link)
		}
	}
	if w := c.workers[1]; !w.usable() && !c.workers[0].usable() {
		w.Up = false
		c.crash(w)
	}
	c.note("the faults end")
}

// LeaseBound returns the time until which a task may wait for leases: not if the owner's node
// knows that its run has ended.
func (c *World) LeaseBound(t *ledger.Task) time.Duration {
	bound := time.Duration(0)
	for _, w := range c.workers {
		if !w.usable() {
			bound = max(bound, w.leaseEnd, w.waitUntil)
		}
	}
	for _, e := range c.owner.node.ends {
		if e.Run == (workload.RunID{Task: t.ID, Run: t.Run}) {
			return 0
		}
	}
	return bound
}

// IsCalm reports whether nothing happens any more without a fault.
func (c *World) IsCalm() bool {
	for o := c.owner.previous; o != nil; o = o.previous {
		if !o.ended {
			return false
		}
	}
	for _, w := range c.workers {
		if w.link != linkOK && len(w.Runs)+len(w.held) > 0 {
			return false
		}
	}
	d := c.owner.machine.Dump()
	delete(d.Runs, "running")
	return c.owner.told && len(d.Runs) == 0 && d.AppendsInFlight == 0
}
