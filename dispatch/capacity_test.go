package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// capacityOf returns a capacity with a number of cores.
func capacityOf(cores int64) hostapi.Resources {
	return hostapi.Resources{MilliCPU: cores * 1000, MemoryMiB: 1 << 20}
}

// stepOfSize returns a step of finite tasks that request a number of cores each.
func stepOfSize(tasks int, cores int64) workload.Step {
	return workload.Step{Tasks: tasks, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: cores * 1000, MemoryMiB: 100}}
}

// listCapacity lists the worker with a capacity.
func (h *harness) listCapacity(capacity hostapi.Resources) {
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Service: "register", Address: "w", DataCentre: "giza", Rack: "r1-1",
		Capacity: capacity,
	}}})
	h.advance(20 * time.Millisecond)
}

// end reports the success of the first run of a task.
func (h *harness) end(id string, index int) {
	run := workload.RunID{Task: workload.TaskID{Submission: id, Index: index}, Run: 1}
	delete(h.active, run)
	h.sequence++
	h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
	h.advance(20 * time.Millisecond)
}

// runningLoad returns a harness whose worker runs four tasks of 16 cores, which take all
// of its CPU, and waits to run two more.
func runningLoad(t *testing.T) *harness {
	h := newHarness(t)
	h.report()
	h.submit("load", stepOfSize(6, 16))
	is.New(t).Equal(h.count(startOf("load")), 4)
	return h
}

// Guards against a start on a worker whose capacity has shrunk below what its runs
// request, and against the end of these runs.
func TestShrunkWorkerGetsNothingUntilEnoughHasEnded(t *testing.T) {
	is := is.New(t)
	h := runningLoad(t)
	h.listCapacity(capacityOf(40))
	h.end("load", 0)
	h.end("load", 1)
	is.Equal(h.count(startOf("load")), 4)
	h.end("load", 2)
	is.Equal(h.count(startOf("load")), 5)
	h.listCapacity(capacityOf(64))
	is.Equal(h.count(startOf("load")), 6)
	is.Equal(h.count(stopOf("load")), 0)
}

// Guards against a start on a worker that has lost all of its capacity, or all of its
// memory only.
func TestWorkerWithoutCapacityGetsNothing(t *testing.T) {
	for _, capacity := range []hostapi.Resources{{}, {MilliCPU: 64000}, {MilliCPU: 64000, MemoryMiB: 50}} {
		is := is.New(t)
		h := newHarness(t)
		h.report()
		h.listCapacity(capacity)
		h.submit("finite", stepOfSize(1, 1))
		h.submit("watch", watchStep)
		bestEffort := reportStep
		bestEffort.Request.MemoryMiB = 100
		h.submit("report", bestEffort)
		for range 5 {
			h.advance(300 * time.Millisecond)
		}
		is.Equal(h.count(startOf("finite"))+h.count(startOf("report")), 0)
		if capacity.MemoryMiB < watchStep.Request.MemoryMiB {
			is.Equal(h.count(startOf("watch")), 0)
		}
		is.Equal(h.machine.FreeCapacity([]dispatch.Demand{demand(3, stepOfSize(3, 1))}), []int{0})
		h.listCapacity(capacityOf(64))
		is.Equal(h.count(startOf("finite")), 1)
		is.Equal(h.count(startOf("watch")), 1)
	}
}

// Guards against a start on a shrunk worker while runs are being stopped there: they
// count until their end is listed.
func TestStoppingRunsCountOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	h := runningLoad(t)
	h.submit("small", stepOfSize(1, 4))
	h.listCapacity(capacityOf(32))
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("load"))})
	is.Equal(h.count(stopOf("load")), 4)
	h.report()
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("small")), 0)
	h.end("load", 0)
	h.end("load", 1)
	is.Equal(h.count(startOf("small")), 0)
	h.end("load", 2)
	is.Equal(h.count(startOf("small")), 1)
}

// Guards against best-effort runs, which reserve no CPU, that start on a worker whose
// other runs exceed its capacity.
func TestBestEffortRunsDoNotStartOnOverfullWorker(t *testing.T) {
	is := is.New(t)
	h := runningLoad(t)
	h.listCapacity(capacityOf(63))
	h.submit("report", reportStep)
	h.advance(300 * time.Millisecond)
	is.Equal(h.count(startOf("report")), 0)
	for i := range 4 {
		h.end("load", i)
	}
	is.Equal(h.count(startOf("report")), 1)
	// A run whose memory is reserved counts as well.
	h.listCapacity(hostapi.Resources{MilliCPU: 63000, MemoryMiB: 10})
	h.submit("other", reportStep)
	is.Equal(h.count(startOf("other")), 0)
}

// Guards against a worker that is held for a long-running task which its shrunk capacity
// can't take any more, so that it gets no other work.
func TestShrunkWorkerIsNotHeld(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("load", stepOfSize(3, 16))
	h.submit("service", workload.Step{Tasks: 1, LongRunning: true, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 32000, MemoryMiB: 10}})
	h.submit("small", stepOfSize(1, 4))
	is.Equal(h.count(startOf("small")), 0)
	h.listCapacity(capacityOf(24))
	for i := range 2 {
		h.end("load", i)
	}
	is.Equal(h.count(startOf("service")), 0)
	is.Equal(h.count(startOf("small")), 1)
}

// Guards against an offer of capacity that a worker no longer has.
func TestOffersFollowTheCapacity(t *testing.T) {
	is := is.New(t)
	h := newTransferHarness(t)
	h.listReadyWorker()
	demands := []dispatch.Demand{demand(100, plainStep)}
	is.Equal(h.machine.FreeCapacity(demands), []int{64})
	h.listCapacity(capacityOf(3))
	is.Equal(h.machine.FreeCapacity(demands), []int{3})
	h.listCapacity(capacityOf(5))
	is.Equal(h.machine.FreeCapacity(demands), []int{5})
}
