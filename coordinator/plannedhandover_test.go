package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// maxStandstill is the longest time without a start at a planned hand-over: the 200 ms that issue 32
// states for hand-overs in the middle.
const maxStandstill = 200 * time.Millisecond

// arrivalInterval is the time between two submissions.
const arrivalInterval = 10 * time.Millisecond

// Guards against work that stands still while a planned hand-over goes on: the old owner stops before
// its successor is assigned the cell and has read it.
func TestPlannedHandOverIsShort(t *testing.T) {
	handOvers := map[string]func(c *cluster){
		"reassigned": func(c *cluster) { c.group.assign(0, "vm-1") },
		"stopped":    func(c *cluster) { go c.nodes["vm-0"].Stop(timeoutContext(4 * time.Second)) },
	}
	for name, handOver := range handOvers {
		for after := time.Duration(0); after < 300*time.Millisecond; after += 70 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := startPlannedHandOver()
					defer c.close()
					stop := c.submitSteadily(is, "vm-2")
					time.Sleep(4*time.Second + after)
					handOver(c)
					still := c.longestStandstill(6 * time.Second)
					stop()
					is.Equal(c.group.owner(0), "vm-1")
					if still > maxStandstill {
						t.Errorf("no start for %v", still)
					}
				})
			})
		}
	}
}

// startPlannedHandOver starts a cluster on a store whose reads take time and whose group gives a cell
// away when its member has confirmed that.
func startPlannedHandOver() *cluster {
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	c := startCluster(1, newFakeWorkers("", ids...), "vm-0", "vm-1", "vm-2")
	c.group.update(func() { c.group.confirmed, c.group.heir = true, "vm-1" })
	c.log.update(func() {
		c.log.loadTime = 100 * time.Millisecond
		for _, l := range c.logs {
			l.readDelay = 20 * time.Millisecond
		}
	})
	return c
}

// submitSteadily submits a task at each arrivalInterval until the returned function is called.
func (c *cluster) submitSteadily(is *is.I, vm string) (stop func()) {
	ended := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(arrivalInterval):
			}
			go func() {
				s := submission(fmt.Sprint("s", i))
				s.Steps = []workload.Step{{Tasks: 1, Request: hostapi.Resources{MilliCPU: 500, MemoryMiB: 1}, Estimate: time.Second}}
				is.NoErr(c.nodes[vm].Submit(timeoutContext(3*time.Second), s))
			}()
		}
	}()
	return func() { close(ended) }
}

// longestStandstill returns the longest time without a start within a time.
func (c *cluster) longestStandstill(within time.Duration) time.Duration {
	const poll = 5 * time.Millisecond
	var changes []time.Duration
	started := c.workers.startedTasks()
	last := time.Duration(0)
	for now := poll; now <= within; now += poll {
		time.Sleep(poll)
		if count := c.workers.startedTasks(); count != started {
			changes = append(changes, now-last)
			started, last = count, now
		}
	}
	return slices.Max(append(changes, within-last))
}

// startedTasks returns the number of tasks that were started on all workers.
func (f fakeWorkers) startedTasks() int {
	n := 0
	for _, w := range f {
		n += w.startedTasks()
	}
	return n
}
