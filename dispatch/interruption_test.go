package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a long-running task without a run of which neither logs nor metrics say for
// how long, and why.
func TestInterruptionOfALongRunningTaskIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", lastingStep(1, 4000))
	h.report()
	h.advance(100 * time.Millisecond)
	h.report()
	for range 80 {
		h.silence(100 * time.Millisecond)
	}
	h.active = make(map[workload.RunID]workload.ActiveRun)
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.report()
	}

	long := h.decisions(dispatch.InterruptionLong)
	is.Equal(len(long), 1)
	is.True(long[0].Age >= 6*time.Second)
	is.True(strings.HasPrefix(long[0].Reason, "run 1 on w: lease has expired"))
	ended := h.decisions(dispatch.InterruptionEnded)
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Run.Run, int64(2))
	is.True(ended[0].Age >= 7*time.Second)
	is.True(ended[0].Waits["lease of a silent worker"] >= simLease)
	is.True(ended[0].Waits["placement"] > 0)
	sum := time.Duration(0)
	for _, d := range ended[0].Waits {
		sum += d
	}
	is.Equal(sum, ended[0].Age)
}

// Guards against an interruption that a takeover hides from logs and metrics.
func TestInterruptionIsReportedAfterATakeover(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", lastingStep(1, 4000))
	h.active = make(map[workload.RunID]workload.ActiveRun)
	h.advance(100 * time.Millisecond)
	h.report(workload.EndedRun{RunID: workload.RunID{Task: workload.TaskID{Submission: "lasting"}, Run: 1}, Sequence: 1, Outcome: workload.Errored})
	h.restart(2)
	h.advanceInSteps(7 * time.Second)
	long := h.decisions(dispatch.InterruptionLong)
	is.Equal(len(long), 1)
	is.True(strings.Contains(long[0].Reason, "without a run since before the epoch"))
}

// Guards against interruptions that count as waits for a placement or a start while the owner
// may only grant leases that are too short for one.
func TestWaitForALongerLeaseIsReportedAsSuch(t *testing.T) {
	const shortFor = 2 * time.Second
	lasting := workload.RunID{Task: workload.TaskID{Submission: "lasting"}, Run: 1}
	for name, unanswered := range map[string]bool{"placement": false, "start without an answer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limit := longLease
			h := limitedHarness(t, &limit)
			h.submit("lasting", lastingTasks(1))
			h.report()
			delete(h.active, lasting)
			if unanswered {
				h.startAnswer = dispatch.NoAnswer
				h.report(workload.EndedRun{RunID: lasting, Sequence: 1, Outcome: workload.Errored})
				h.advance(20 * time.Millisecond)
				is.Equal(h.count(startOf("lasting")), 2)
				clear(h.active)
			}
			limit = time.Second
			h.startAnswer = dispatch.Done
			if !unanswered {
				h.report(workload.EndedRun{RunID: lasting, Sequence: 1, Outcome: workload.Errored})
			}
			h.advanceInSteps(shortFor)
			is.Equal(len(h.decisions(dispatch.InterruptionEnded)), 0)
			limit = longLease
			h.pass(time.Second)
			ended := h.decisions(dispatch.InterruptionEnded)
			is.Equal(len(ended), 1)
			is.True(ended[0].Waits["longer lease"] >= shortFor-200*time.Millisecond)
		})
	}
}
