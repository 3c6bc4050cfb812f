package dispatch_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/ledger"
)

var (
	cancelSeeds = flag.Uint64("cancel.seeds", 20, "number of seeds of the schedules of cancellations")
	cancelFirst = flag.Uint64("cancel.first", 0, "first seed of the schedules of cancellations")
)

const (
	// maxRunAfterCancel is the time after a cancellation, or after a start that the network
	// delayed, for which a task may still run, as stated by the platform's users.
	maxRunAfterCancel = 4900 * time.Millisecond
	// cancelTime is the time in which submissions are cancelled.
	cancelTime = 40 * time.Second
	// cancelLease is a lease that does not end runs in time.
	cancelLease = 12 * time.Second
	// cancelTakeovers is the number of takeovers of each cell in that time.
	cancelTakeovers = 8
)

// Guards against a start that is carried out after its run was given up, because its own
// late answer was taken for that of the stop.
func TestCancellationsBesideALateStart(t *testing.T) { runCancelSchedule(t, 114) }

// Guards against a run of a cancelled submission that nobody stops: successors that start
// from snapshots, lost and late commands, workers that leave the list or restart with the
// same id, records out of order.
func TestSchedulesOfCancellations(t *testing.T) {
	t.Parallel()
	for seed := *cancelFirst; seed < *cancelFirst+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCancelSchedule(t, seed)
		})
	}
}

func runCancelSchedule(t *testing.T, seed uint64) {
	c := newSimCells(t, seed, 6, 6)
	began := c.now
	c.endless, c.lease = true, cancelLease
	for i := range 60 {
		id, home := fmt.Sprintf("long%d", i), c.cells[i%2]
		at := c.randomTime(cancelTime)
		c.after(at, func() { c.submit(home, id, 1+c.random.IntN(3)) })
		// Some cancellations overtake their submissions.
		c.after(at+c.randomTime(6*time.Second)-100*time.Millisecond, func() { c.cancelIn(home, id) })
	}
	c.setFaulty(true)
	for _, s := range c.cells {
		for range cancelTakeovers {
			s.after(c.randomTime(cancelTime), func() { s.openEpoch() })
		}
		for range 8 {
			s.after(c.randomTime(cancelTime), s.unlistWorker)
		}
		for range 4 {
			s.after(c.randomTime(cancelTime), func() { s.reboot(s.randomWorker()) })
		}
	}
	longest := time.Duration(0)
	c.runCells(began+cancelTime+20*time.Second, c.cells, func() { longest = max(longest, c.checkCancelled()) })
	t.Logf("%d starts, longest run after a cancellation %v", c.starts, longest)
}

// cancelIn cancels a submission, which may not have arrived yet, in its own cell.
func (c *simCells) cancelIn(home *sim, id string) {
	c.cancelledAt[id] = c.now
	home.appendIntake(ledger.CancelledRecord(id))
}

func (s *sim) randomWorker() *dispatchtest.Worker {
	return s.workers[fmt.Sprintf("w%d", s.random.IntN(len(s.workers)))]
}

// unlistWorker takes a worker that works on off the list for some seconds.
func (s *sim) unlistWorker() {
	w := s.randomWorker()
	w.Unlisted = true
	s.after(4*time.Second+s.randomTime(6*time.Second), func() { w.Unlisted = false })
}

// checkCancelled fails the test if a run of a cancelled submission is active too late. It
// returns the longest time for which one has been.
func (c *simCells) checkCancelled() time.Duration {
	longest := time.Duration(0)
	for _, s := range c.cells {
		for id, w := range s.workers {
			for run, r := range w.Runs {
				at, cancelled := c.cancelledAt[run.Task.Submission]
				if !cancelled || !w.Up {
					continue
				}
				since := c.now - max(at, r.StartedAt)
				if longest = max(longest, since); since > maxRunAfterCancel {
					c.t.Fatalf("%v: %v has run on %s of cell %d for %v after its cancellation at %v and its start at %v",
						c.now, run, id, s.number, since, at, r.StartedAt)
				}
			}
		}
	}
	return longest
}
