package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against strong evidence against a gang from a repeated crash of one worker on which other
// members of it were started than before, and against weak evidence against another task of a step.
func TestRepeatedCrashOfAWorkerUnderOtherTasksOfAStep(t *testing.T) {
	for gang, want := range map[bool]string{true: "the worker crashed under the task before", false: ""} {
		is := is.New(t)
		f := newMoveFixture("a", "b")
		e := f.submit("s", 1, workload.Step{Tasks: 2, Gang: gang})
		f.work(e, "a", "b")
		f.remember(f.workers["a"].outageOf(f.now))
		r := f.newRun(e, &ledger.Task{ID: workload.TaskID{Submission: "s", Index: 1}}, 2, f.workers["a"])
		is.Equal(f.otherCause(&outage{
			address: "a", heardAt: f.now + 5*time.Second, seenAt: f.now + 6*time.Second, suspects: []workload.RunID{r.id},
			unit: r, isolated: true, incarnation: workload.Incarnation{Worker: "a", StartMillis: 2},
		}), want)
	}
}
