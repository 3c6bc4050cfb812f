package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a process that ends because the handling of one report panics: the
// epoch must end, and the node must go on with the state in the log, without a second
// start of the task.
func TestPanicEndsTheEpochOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		h.worker.update(func() { h.worker.outcome = workload.Outcome(99) })
		time.Sleep(2 * time.Second)
		h.worker.update(func() {
			h.worker.outcome = workload.Succeeded
			for i := range h.worker.endedRuns {
				h.worker.endedRuns[i].Outcome = workload.Succeeded
			}
		})
		time.Sleep(8 * time.Second)
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}
