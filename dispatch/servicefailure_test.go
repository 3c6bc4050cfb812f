package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a sound worker that takes no runs for seconds, because long-running tasks of two
// submissions failed there after they had been at work.
func TestFailuresOfTasksThatWereAtWorkDoNotPointToTheirWorker(t *testing.T) {
	for _, atWork := range []bool{true, false} {
		t.Run(fmt.Sprintf("at work %v", atWork), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			for _, id := range []string{"first", "second"} {
				h.submit(id, watchStep)
			}
			if !atWork {
				for run, active := range h.active {
					active.ProgressPercent = 0
					h.active[run] = active
				}
			}
			h.advance(time.Second)
			h.report()
			for _, id := range []string{"first", "second"} {
				h.sequence++
				run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
				delete(h.active, run)
				h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Errored})
			}
			h.advance(500 * time.Millisecond)
			again := workload.RunID{Task: workload.TaskID{Submission: "second"}, Run: 2}
			_, started := h.active[again]
			is.Equal(started, atWork)
		})
	}
}
