package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
)

// openedBy returns the epochs that a VM opened.
func (l *fakeLog) openedBy(vm string) (epochs []int64) {
	for epoch, owner := range l.opened() {
		if owner == vm {
			epochs = append(epochs, epoch)
		}
	}
	return epochs
}

// cutJoins makes the joins of a VM fail, so that it doesn't learn of assignments.
func (g *cellGroup) cutJoins(vm string) { g.update(func() { g.cut[vm] = true }) }

// Guards against an owner that has lost the cell and takes it back by an assignment from before, which it
// doesn't know to have ended.
func TestFormerOwnerTakesNothingByAnOldAssignment(t *testing.T) {
	for name, reachable := range map[string]bool{"resigned": true, "fenced": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1")
				defer c.close()
				c.group.cutJoins("vm-0")
				c.cutLink("vm-1", "vm-0", !reachable)
				c.group.assign(0, "vm-1")
				time.Sleep(400 * time.Millisecond)
				is.NoErr(c.nodes["vm-1"].Submit(timeoutContext(time.Second), submission("s")))
				time.Sleep(3 * time.Second)
				is.Equal(c.log.opened(), map[int64]string{1: "vm-0", 2: "vm-1"})
			})
		})
	}
}

// Guards against a node that opens the epoch after another node's by an assignment from before: that node
// has opened the epoch that it attempted to open, or a later one.
func TestNodeWhoseEpochIsTakenOpensNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1")
		defer c.close()
		release := c.holdOpening("vm-1")
		c.log.appendOpened(ledger.Owner{Epoch: 100, VM: "vm-9"})
		release()
		time.Sleep(3 * time.Second)
		is.Equal(c.log.openedBy("vm-1"), nil)
	})
}

// Guards against a node that opens the epoch after another node's by an assignment from before: that node
// has opened one between two attempts.
func TestNodeThatReadsAnotherEpochOpensNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1")
		defer c.close()
		release := c.holdOpening("vm-1")
		// The stream no longer ends where the first attempt has read, and the request to resign, without
		// an answer, lasts until the other node has opened its epoch.
		c.cutLink("vm-1", "vm-0", true)
		c.log.update(func() {
			records := c.log.streams[cellStream]
			c.log.streams[cellStream] = append(records, records[0])
		})
		release()
		time.Sleep(200 * time.Millisecond)
		c.log.appendOpened(ledger.Owner{Epoch: 100, VM: "vm-9"})
		time.Sleep(3 * time.Second)
		is.Equal(c.log.openedBy("vm-1"), nil)
	})
}

// holdOpening assigns the cell to a VM, which learns of no later assignment, and holds its append that opens
// an epoch until release is called.
func (c *cluster) holdOpening(vm string) (release func()) {
	held := newBarrier(2)
	c.log.update(func() { c.log.openings = held })
	c.group.assign(0, vm)
	time.Sleep(400 * time.Millisecond)
	c.group.cutJoins(vm)
	return func() { held.await(timeoutContext(time.Second)) }
}
