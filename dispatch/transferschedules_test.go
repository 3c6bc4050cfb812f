package dispatch_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

var (
	transferSeeds = flag.Uint64("transfer.seeds", 4, "number of seeds of the schedules of transfers")
	transferFirst = flag.Uint64("transfer.first", 0, "first seed of the schedules of transfers")
)

const (
	// maxStopAfterCancel is the time after a cancellation from which no task may run.
	maxStopAfterCancel = 4 * time.Second
	// Of the long-running submissions, those from cancelledFrom on are cancelled while
	// faults go on. The others fit the workers that are left in any case.
	longSubmissions = 11
	cancelledFrom   = 7
	batches         = 40
	faultTime       = 26 * time.Second
	// settleTime is the time after the last fault begins until its effects have ended:
	// 9 s until the last owner is replaced and the last late command carried out, and
	// then the leases of previous owners to workers that have been removed.
	settleTime = 9*time.Second + simPredecessorExpiry
	// quietTime is a time in which only runs fail.
	quietTime = 15 * time.Second
	// drainTime is the time for the batches that long-running tasks held up.
	drainTime = 30 * time.Second
)

// Guards against a task that runs in two cells at a time, that no cell has, or that
// starts after its submission was cancelled, when transfers meet lost and repeated
// appends, late commands, records out of order, and owners that freeze and are replaced.
func TestSchedulesOfTransfers(t *testing.T) {
	t.Parallel()
	for seed := *transferFirst; seed < *transferFirst+*transferSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runTransferSchedule(t, seed)
		})
	}
}

// Guards against a successor that starts a run of a guest, which the previous owner
// recorded, although the guest may have been cancelled seconds ago.
func TestSuccessorStartsConfirmedGuestsOnly(t *testing.T) {
	t.Parallel()
	runTransferSchedule(t, 110)
}

func runTransferSchedule(t *testing.T, seed uint64) {
	c := newSimCells(t, seed, 2, 5, 5)
	began := c.now
	c.scheduleWork()
	c.after(time.Second, func() { c.setFaulty(true) })
	for _, s := range c.cells {
		for range 8 {
			s.after(c.randomTime(faultTime), s.injectFault)
		}
		for range 4 {
			s.after(c.randomTime(faultTime), func() { s.openEpoch() })
		}
	}
	c.after(faultTime, func() {
		for _, s := range c.cells {
			s.endFaults()
		}
	})
	c.run(began + faultTime + settleTime)
	c.settledAt = c.now
	c.run(c.now + quietTime)
	c.removeWorkers(c.cells[0])
	c.run(c.settledAt)
	for _, id := range []string{"long0", "long1"} {
		c.cancel(id)
		c.submit(c.cells[0], "later-"+id, 3)
	}
	c.run(c.now + quietTime)
	for i := range longSubmissions {
		c.cancel(fmt.Sprintf("long%d", i))
	}
	c.run(c.now + drainTime)
	c.checkBatches()
	t.Logf("%d starts, %d tasks transferred, one of them %d times, longest wait %v", c.starts, len(c.moves), slices.Max(slices.Collect(maps.Values(c.moves))), c.longest)
}

// randomTime returns a time of whole milliseconds below a limit.
func (c *simCells) randomTime(limit time.Duration) time.Duration {
	return time.Duration(c.random.IntN(int(limit/time.Millisecond))) * time.Millisecond
}

// removeWorkers removes all workers of a cell. Their tasks run again in other cells once
// the leases have expired.
func (c *simCells) removeWorkers(s *sim) {
	for _, w := range s.workers {
		w.Up, w.Removed = false, true
	}
	s.removed = len(s.workers)
	c.settledAt = c.now + dispatch.LeaseExpiryBound(simLease)
}

func (c *simCells) setFaulty(faulty bool) {
	for _, s := range c.cells {
		s.faulty = faulty
	}
}

// scheduleWork submits long-running tasks, most of them to the smallest cell, cancels
// some, and submits batches to all cells.
func (c *simCells) scheduleWork() {
	for i := range longSubmissions {
		id := fmt.Sprintf("long%d", i)
		home := c.cells[max(0, c.random.IntN(5)-2)]
		at := c.randomTime(15 * time.Second)
		c.after(at, func() { c.submit(home, id, 1+c.random.IntN(3)) })
		if i >= cancelledFrom {
			c.after(at+c.randomTime(12*time.Second), func() { c.cancel(id) })
		}
	}
	for i := range batches {
		s := c.cells[i%len(c.cells)]
		c.after(c.randomTime(16*time.Second), func() {
			c.submitBatch(s, fmt.Sprintf("batch%d", i), 1+c.random.IntN(6))
		})
	}
}

// checkBatches fails the test if a batch has not completed, also in a cell that has lost
// its workers.
func (c *simCells) checkBatches() {
	for i := range batches {
		e := c.cells[i%len(c.cells)].owner().ledger.Find(fmt.Sprintf("batch%d", i))
		if e == nil || e.State() != workload.Completed {
			c.t.Fatalf("batch%d has not completed", i)
		}
	}
}
