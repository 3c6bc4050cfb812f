package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a second run of a task beside its first one, which a stop of the previous owner is
// ending: the worker does not list it any more, and refuses the start that its successor repeats for
// a reason that says nothing of the run.
func TestRefusedStartOfAnInheritedRunIsNoEnd(t *testing.T) {
	for _, answer := range []dispatch.Answer{dispatch.Unhealthy, dispatch.NoRoom, dispatch.TooLate} {
		t.Run(answer.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			h.submit("s", plainStep)
			is.Equal(h.count(startOf("s")), 1)
			h.succeedOwner(simLease)
			h.listIncarnations(workload.Incarnation{Worker: "w", StartMillis: 1}, workload.Incarnation{Worker: "v", StartMillis: 1})
			h.reportOf("v")
			h.withholdsStarts = true
			h.reportOf("w")
			h.advance(20 * time.Millisecond)
			run := workload.RunID{Task: workload.TaskID{Submission: "s"}, Run: 1}
			is.Equal(h.withheld, []workload.RunID{run})
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: answer, Clock: h.now})
			for range 5 {
				h.advance(20 * time.Millisecond)
			}
			is.Equal(h.count(startOf("s")), 1)
			is.Equal(h.count(stopOf("s")), 1)
			h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.Done})
			for range 10 {
				h.advance(100 * time.Millisecond)
				h.reportOf("w")
				h.reportOf("v")
			}
			is.Equal(h.count(startOf("s")), 2)
		})
	}
}

// Guards against a task that waits for as long as a worker refuses orders, although no stop of the previous
// owner can still be under way there.
func TestRefusedStopOfAnInheritedRunEndsInTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("s", longRunningStep())
	h.succeedOwner(simLease)
	h.listIncarnations(workload.Incarnation{Worker: "w", StartMillis: 1}, workload.Incarnation{Worker: "v", StartMillis: 1})
	h.reportOf("v")
	h.withholdsStarts = true
	h.reportOf("w")
	h.advance(20 * time.Millisecond)
	run := workload.RunID{Task: workload.TaskID{Submission: "s"}, Run: 1}
	is.Equal(h.withheld, []workload.RunID{run})
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.Unhealthy, Clock: h.now})
	for range 60 {
		h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.Unhealthy})
		h.advance(100 * time.Millisecond)
		h.reportOf("w")
		h.reportOf("v")
	}
	is.Equal(len(h.withheld), 2)
}
