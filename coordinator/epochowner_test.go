package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// maxTimeWithoutOwner is the time within which a cell has an owner again (design.md 10.1).
	maxTimeWithoutOwner = 2 * time.Second
	// dealInterval is the least time between two dealings of the cell.
	dealInterval = 400 * time.Millisecond
)

// appendOpened appends the record of an owner that nothing else is known of.
func (l *fakeLog) appendOpened(owner ledger.Owner) {
	data, err := ledger.Encode(ledger.OpenedRecord(owner))
	if err != nil {
		panic(err)
	}
	l.update(func() {
		l.streams[cellStream] = append(l.streams[cellStream], data)
		l.appendsTo(cellStream).note(&coordinator.Fence{Epoch: owner.Epoch, Sequence: 1}, int64(len(l.streams[cellStream])))
	})
}

// opened returns the owners of the epochs that were opened.
func (l *fakeLog) opened() map[int64]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	owners := make(map[int64]string)
	for _, data := range l.streams[cellStream] {
		if r, err := ledger.Decode(data); err == nil && r.Opened != nil {
			owners[r.Opened.Epoch] = r.Opened.Vm
		}
	}
	return owners
}

// checkStartedOnce checks that all tasks have ended and each was started once.
func (c *cluster) checkStartedOnce(is *is.I) {
	is.Helper()
	active, ended, starts := 0, 0, make(map[workload.TaskID]int)
	for _, w := range c.workers {
		w.mu.Lock()
		active += len(w.runs)
		ended += len(w.endedRuns)
		for task, n := range w.starts {
			starts[task] += n
		}
		w.mu.Unlock()
	}
	is.True(len(starts) > 0)
	is.Equal(active, 0)
	is.Equal(ended, len(starts))
	for _, n := range starts {
		is.Equal(n, 1)
	}
}

// Guards against two owners of one epoch: the append with which the second node opens it is answered
// like a repeat of the first node's.
func TestTwoNodesOpenOneEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1", "w2", "w3", "w4"), "vm-0", "vm-1", "vm-2")
		defer c.close()
		c.kill("vm-0", c.stops[0])
		// Each node reaches workers of its own, so that two owners start a task on two workers.
		cutWorkers := func(cut bool) {
			for i, vm := range []string{"vm-1", "vm-1", "vm-2", "vm-2"} {
				c.cutLink(vm, fmt.Sprint("w", i+1), cut)
			}
		}
		cutWorkers(true)
		// Both nodes count from this epoch, which is ahead of the group's generations.
		c.log.appendOpened(ledger.Owner{Epoch: 100, VM: "vm-9"})
		time.Sleep(time.Second)
		for i := range 8 {
			s := submission(fmt.Sprint("s", i))
			s.Steps = []workload.Step{{Tasks: 4, Request: hostapi.Resources{MilliCPU: 500, MemoryMiB: 1}, Estimate: time.Second}}
			is.NoErr(c.nodes["vm-2"].Submit(timeoutContext(3*time.Second), s))
		}
		c.log.update(func() { c.log.openings = newBarrier(2) })
		c.group.assign(0, "vm-1")
		time.Sleep(400 * time.Millisecond)
		c.group.assign(0, "vm-2")
		time.Sleep(3 * time.Second)
		cutWorkers(false)
		time.Sleep(20 * time.Second)
		c.checkStartedOnce(is)
		is.Equal(c.nodes["vm-1"].Dump(t.Context()).Cells[0].Owned, false)
		is.Equal(c.nodes["vm-2"].Dump(t.Context()).Cells[0].Owned, true)
	})
}

// Guards against a node that takes its own record, whose append had no answer, for that of another owner, and
// waits for leases that nobody has granted.
func TestOpeningWithoutAnAnswerIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startPlannedHandOver()
		defer c.close()
		defer c.submitSteadily(is, "vm-2")()
		time.Sleep(2 * time.Second)
		c.log.update(func() { c.log.lostOpenings = 2 })
		c.group.assign(0, "vm-1")
		is.True(c.longestStandstill(5*time.Second) < maxTimeWithoutOwner)
		is.Equal(c.log.opened(), map[int64]string{1: "vm-0", 2: "vm-1"})
	})
}

// Guards against an owner that goes on although the log has taken its append for another one: what it takes
// for stored may not be.
func TestOwnerStopsWhenAnAppendIsMisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startPlannedHandOver()
		defer c.close()
		stop := c.submitSteadily(is, "vm-2")
		time.Sleep(2 * time.Second)
		c.log.update(func() { c.log.misplaced = 1 })
		is.True(c.longestStandstill(5*time.Second) < maxTimeWithoutOwner)
		stop()
		time.Sleep(10 * time.Second)
		is.Equal(c.log.opened(), map[int64]string{1: "vm-0", 2: "vm-0"})
		c.checkStartedOnce(is)
	})
}

// Guards against a node that owns the cell although the log has taken its Opened record for another one.
func TestNodeWhoseOpeningIsMisplacedOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1")
		defer c.close()
		c.log.update(func() { c.log.misplacedOpenings = 1 })
		c.group.assign(0, "vm-1")
		time.Sleep(5 * time.Second)
		is.Equal(c.log.opened(), map[int64]string{1: "vm-0", 2: "vm-1", 3: "vm-1"})
	})
}

// Guards against a cell without an owner: the store knows an epoch whose record no read shows, and the
// assigned node attempts to open that one again and again.
func TestEpochThatNoReadShowsIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1")
		defer c.close()
		c.log.update(func() { c.log.appendsTo(cellStream).note(&coordinator.Fence{Epoch: 2, Sequence: 7}, 0) })
		c.group.assign(0, "vm-1")
		time.Sleep(5 * time.Second)
		is.Equal(c.log.opened(), map[int64]string{1: "vm-0", 3: "vm-1"})
	})
}

// Guards against a node that takes the cell from its owner although it has been assigned to that one
// again: its reads took longer than its assignment lasted.
func TestUnassignedNodeLeavesTheOwnerAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startPlannedHandOver()
		defer c.close()
		c.group.update(func() { c.group.confirmed = false })
		defer c.submitSteadily(is, "vm-2")()
		time.Sleep(2 * time.Second)
		c.log.update(func() { c.logs["vm-1"].readDelay = 500 * time.Millisecond })
		c.group.assign(0, "vm-1")
		time.Sleep(310 * time.Millisecond)
		c.group.assign(0, "vm-0")
		is.True(c.longestStandstill(5*time.Second) < maxStandstill)
		for epoch, vm := range c.log.opened() {
			if vm == "vm-1" {
				t.Errorf("vm-1 opened epoch %d", epoch)
			}
		}
	})
}

// Guards against tasks that two owners start, and against a cell that stands still, while the group deals
// the cells anew again and again before the nodes have confirmed the last dealing, also where reading the
// cell takes longer than it stays assigned.
func TestCellIsDealtAnewAgainAndAgain(t *testing.T) {
	for _, readDelay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(readDelay, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkDealtAnew(t, readDelay, seed) })
			})
		}
	}
}

func checkDealtAnew(t *testing.T, readDelay time.Duration, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 0))
	c := startPlannedHandOver()
	defer c.close()
	c.group.update(func() { c.group.confirmed = false })
	stop := c.submitSteadily(is, "vm-2")
	c.log.update(func() {
		for _, l := range c.logs {
			l.readDelay = readDelay
		}
	})
	dealt := make(chan struct{})
	go func() {
		defer close(dealt)
		for range 30 {
			c.group.assign(0, fmt.Sprint("vm-", random.IntN(3)))
			time.Sleep(dealInterval + time.Duration(random.IntN(600))*time.Millisecond)
		}
	}()
	still := c.longestStandstill(20 * time.Second)
	<-dealt
	stop()
	time.Sleep(15 * time.Second)
	c.checkStartedOnce(is)
	if still > maxTimeWithoutOwner {
		t.Errorf("no start for %v", still)
	}
}
