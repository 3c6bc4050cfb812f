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

// Guards against a long task that is stopped over and over because its progress, in whole
// percent, is the same in two reports: it would never end.
func TestLongRunIsNotStalledBetweenTwoPercents(t *testing.T) {
	for name, test := range map[string]struct {
		estimate time.Duration
		// stops is how often its runs may be stopped.
		stops int
	}{
		// A percent takes 3 s: timeouts of 1.5 s and 3 s are too short for it, 6 s is not.
		"estimated truly": {300 * time.Second, 0}, "estimated far too low": {time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			step := plainStep
			step.Estimate = test.estimate
			h.submit("long", step)
			began := make(map[workload.RunID]time.Duration)
			for range 400 {
				for id := range h.active {
					if h.count(func(a dispatch.Action) bool { s, ok := a.(dispatch.Stop); return ok && s.Run == id }) > 0 {
						delete(h.active, id)
						h.sequence++
						h.report(workload.EndedRun{RunID: id, Sequence: h.sequence, Outcome: workload.Stopped})
						continue
					}
					if _, known := began[id]; !known {
						began[id] = h.now
					}
					h.active[id] = workload.ActiveRun{RunID: id, ProgressPercent: int((h.now - began[id]) / (3 * time.Second))}
				}
				h.advance(100 * time.Millisecond)
				h.report()
			}
			is.True(h.count(stopOf("long")) <= test.stops)
			is.Equal(len(h.active), 1)
		})
	}
}
