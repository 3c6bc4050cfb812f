package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// runOne submits a task, lets it run for a time and returns the decision about its end.
func (h *harness) runOne(id string, milliCPU int64, estimate, runTime time.Duration) dispatch.Decision {
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()),
		Steps:  []workload.Step{{Tasks: 1, Estimate: estimate, Request: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 10}}},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5},
	}))
	h.handle(dispatch.EntryChanged{Entry: e})
	h.advance(20 * time.Millisecond)
	h.advance(runTime)
	run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
	h.sequence++
	delete(h.active, run)
	h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && d.Kind == dispatch.SubmissionEnded && d.Run.Task.Submission == id {
			return d
		}
	}
	h.t.Fatalf("%s has not ended", id)
	return dispatch.Decision{}
}

// Guards against estimates that are far off and decide which submissions count as the largest of
// their queue: the tasks of all run equally long, whatever their callers say.
func TestLargestAreFoundThoughEstimatesAreFarOff(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	for i := range 24 {
		h.runOne(fmt.Sprintf("small-%d", i), 1000, []time.Duration{50 * time.Millisecond, 800 * time.Millisecond}[i%2], 200*time.Millisecond)
	}
	d := h.runOne("large", 4000, 50*time.Millisecond, 200*time.Millisecond)
	is.Equal(d.Size, dispatch.LargestSize)
	is.True(math.Abs(d.Work-0.8) < 0.1)
}

// Guards against run times that replace estimates which are right.
func TestEstimatesCountWhereTheyAreRight(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	for i := range 24 {
		estimate := []time.Duration{100 * time.Millisecond, 800 * time.Millisecond}[i%2]
		h.runOne(fmt.Sprintf("small-%d", i), 1000, estimate, estimate)
	}
	is.True(math.Abs(h.runOne("middle", 1000, 300*time.Millisecond, 300*time.Millisecond).Work-0.3) < 0.03)
}
