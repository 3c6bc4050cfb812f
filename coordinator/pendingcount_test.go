package coordinator_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a number of pending submissions that leaves out those of the last seconds: the owner cannot
// read the intake, and the nodes that accept submissions cannot reach it.
func TestPendingCountIsNotToldFromAnOldView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("", "w1"), "vm-0", "vm-1", "vm-2")
		defer c.close()
		c.cutLink("vm-2", "vm-0", true)
		c.logs["vm-0"].intakeReads.set(func(f *callFault) { f.lost = true })
		const submissions = 5
		for i := range submissions {
			s := submission(fmt.Sprint("s", i))
			s.Steps = []workload.Step{{Tasks: 1, Request: hostapi.Resources{MilliCPU: 1 << 30, MemoryMiB: 1}, Estimate: time.Second}}
			is.NoErr(c.nodes["vm-2"].Submit(timeoutContext(3*time.Second), s))
		}
		time.Sleep(3 * time.Second)
		for _, vm := range []string{"vm-0", "vm-1"} {
			pending, err := c.nodes[vm].QueueLength(timeoutContext(time.Second), "q")
			if !errors.Is(err, coordinator.ErrUnavailable) {
				t.Errorf("%s tells %d pending submissions of %d, error %v", vm, pending, submissions, err)
			}
		}
		c.logs["vm-0"].intakeReads.set(func(f *callFault) { f.lost = false })
		time.Sleep(3 * time.Second)
		for _, vm := range []string{"vm-0", "vm-1"} {
			pending, err := c.nodes[vm].QueueLength(timeoutContext(time.Second), "q")
			is.NoErr(err)
			is.Equal(pending, submissions)
		}
	})
}
