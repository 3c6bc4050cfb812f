package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// drainsFor is how long the draining workers of these tests go on at least.
const drainsFor = 3 * time.Second

// drainingHarness has long-running tasks and a batch on worker w, which drains from now on.
// The other worker can take no task until listOther makes room there.
func drainingHarness(t *testing.T, step workload.Step) *harness {
	h := newHarnessWithLease(t, longLease)
	h.report()
	h.submit("lasting", step)
	h.submit("batch", plainStep)
	h.report()
	h.readList()
	h.advance(20 * time.Millisecond)
	h.listOther(0)
	return h
}

// listOther lists w as draining, and another worker with CPU for a number of tasks of 4 cores.
func (h *harness) listOther(tasks int64) {
	w := workload.Worker{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Service: "register", Address: "w", DataCentre: "giza", Rack: "r1-1",
		Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20}, Draining: true, Remaining: drainsFor,
	}
	x := w
	x.Worker, x.Address, x.Draining, x.Remaining, x.Capacity.MilliCPU = "x", "x", false, 0, 4000*tasks
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{w, x}})
	h.readList()
	h.handle(dispatch.HeartbeatAnswered{Worker: "x", SentAt: h.now, Report: workload.Report{Incarnation: x.Incarnation, Clock: h.now}})
}

func (h *harness) readList() {
	h.handle(dispatch.ViewRead{View: dispatch.WorkerList, SentAt: h.now})
}

// pass advances the time in steps; w answers its heartbeats.
func (h *harness) pass(by time.Duration) {
	for end := h.now + by; h.now < end; {
		h.advance(100 * time.Millisecond)
		h.report()
	}
}

// endStopped reports the runs of a submission on w that are to be stopped as ended.
func (h *harness) endStopped(id string) {
	var ended []workload.EndedRun
	for _, a := range h.actions {
		if s, ok := a.(dispatch.Stop); ok && s.Run.Task.Submission == id {
			if _, active := h.active[s.Run]; active {
				delete(h.active, s.Run)
				h.sequence++
				ended = append(ended, workload.EndedRun{RunID: s.Run, Sequence: h.sequence, Outcome: workload.Stopped})
			}
		}
	}
	h.report(ended...)
	h.advance(20 * time.Millisecond)
}

func lastingTasks(n int) workload.Step {
	return workload.Step{Tasks: n, LongRunning: true, Image: "watch", Request: hostapi.Resources{MilliCPU: 4000, MemoryMiB: 10}}
}

// Guards against long-running tasks of draining workers that are stopped where they can't be
// started again, although their worker serves on.
func TestLongRunningRunsOfADrainingWorkerAreKeptUntilTheyFitElsewhere(t *testing.T) {
	t.Run("no room", func(t *testing.T) {
		is := is.New(t)
		h := drainingHarness(t, lastingTasks(10))
		h.pass(time.Second)
		is.Equal(h.count(stopOf("lasting")), 0)
		h.listOther(1)
		h.pass(time.Second)
		is.Equal(h.count(stopOf("lasting")), 1)
		// The place of the stopped run is not given to finite work.
		h.submit("later", lastingBatch)
		h.endStopped("lasting")
		is.Equal(h.count(startOf("lasting")), 11)
		is.Equal(h.count(startOf("later")), 0)
	})
	t.Run("room only during the stop", func(t *testing.T) {
		is := is.New(t)
		h := drainingHarness(t, lastingTasks(1))
		h.pass(drainsFor)
		is.Equal(h.count(stopOf("lasting")), 1)
		h.listOther(1)
		h.submit("later", lastingBatch)
		h.endStopped("lasting")
		is.Equal(h.count(startOf("lasting")), 2)
		is.Equal(h.count(startOf("later")), 0)
	})
	t.Run("log unavailable", func(t *testing.T) {
		is := is.New(t)
		h := drainingHarness(t, lastingTasks(1))
		h.logStalled = true
		// The record of an end gets no answer.
		ended := workload.RunID{Task: workload.TaskID{Submission: "batch"}, Run: 1}
		delete(h.active, ended)
		h.report(workload.EndedRun{RunID: ended, Sequence: 1, Outcome: workload.Succeeded})
		h.pass(300 * time.Millisecond)
		h.listOther(1)
		h.pass(time.Second)
		is.Equal(h.count(stopOf("lasting")), 0)
	})
	t.Run("gang", func(t *testing.T) {
		is := is.New(t)
		gang := lastingTasks(3)
		gang.Gang = true
		h := drainingHarness(t, gang)
		h.listOther(2)
		h.pass(time.Second)
		is.Equal(h.count(stopOf("lasting")), 0)
		h.listOther(3)
		h.pass(500 * time.Millisecond)
		is.Equal(h.count(stopOf("lasting")), 3)
	})
}

// lastingBatch takes the CPU of a task of lastingTasks.
var lastingBatch = workload.Step{Tasks: 1, Estimate: 10 * time.Second, Request: hostapi.Resources{MilliCPU: 4000, MemoryMiB: 10}}

// Guards against long-running runs that die with their worker, without a listed end: their
// tasks would wait for its lease.
func TestLongRunningRunsAreStoppedBeforeTheirWorkerLeaves(t *testing.T) {
	for name, remaining := range map[string]time.Duration{"known": drainsFor, "unknown": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarnessWithLease(t, longLease)
			h.report()
			h.submit("lasting", lastingTasks(2))
			h.report()
			h.readList()
			read := h.now
			h.advance(200 * time.Millisecond)
			h.listWorker(workload.Worker{Draining: true, Remaining: remaining})
			for h.count(stopOf("lasting")) < 2 && h.now < read+drainsFor {
				h.readList()
				h.advance(20 * time.Millisecond)
				h.report()
			}
			is.Equal(h.count(stopOf("lasting")), 2)
			is.True(h.now <= max(read+remaining-500*time.Millisecond, read+300*time.Millisecond))
		})
	}
}
