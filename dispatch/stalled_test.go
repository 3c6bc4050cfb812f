package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

var plainStep = workload.Step{
	Tasks: 1, Estimate: 10 * time.Second, Request: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 10},
}

// setProgress sets the progress that the worker reports of a submission's runs.
func (h *harness) setProgress(id string, percent int) {
	for run, a := range h.active {
		if run.Task.Submission == id {
			a.ProgressPercent = percent
			h.active[run] = a
		}
	}
}

// Guards against stalled tasks that stay on a worker for many times their estimate,
// and against slow tasks that are treated as stalled.
func TestRunsWithoutProgressAreStopped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("still", plainStep)
	h.submit("slow", plainStep)
	h.setProgress("still", 30)
	for i := range 8 {
		h.setProgress("slow", i)
		h.advance(400 * time.Millisecond)
		h.report()
	}
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(stopOf("still")), 1)
	is.Equal(h.count(stopOf("slow")), 0)
}

// Guards against a run that is removed while its worker is still stopping it: it may
// still succeed, and its task must not be started again.
func TestStoppingRunIsNotRemovedBeforeStopTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 900 * time.Millisecond,
	}, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.report()
	h.submit("still", plainStep)
	h.setProgress("still", 30)
	for range 8 {
		h.advance(400 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(stopOf("still")), 1)
	first := workload.RunID{Task: workload.TaskID{Submission: "still"}, Run: 1}
	delete(h.active, first)
	h.handle(dispatch.StopAnswered{Worker: "w", Run: first, Answer: dispatch.Done})
	for range 8 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	h.report(workload.EndedRun{RunID: first, Sequence: 1, Outcome: workload.Succeeded})
	h.advance(time.Second)
	is.Equal(h.count(startOf("still")), 1)
	is.Equal(h.ledger.Find("still").State(), workload.Completed)
}
