package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a long-running task that waits because smaller tasks of its priority
// take each piece of capacity that becomes free.
func TestCapacityIsHeldForLongRunningTask(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	submit := func(id string, step workload.Step) {
		e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()), Steps: []workload.Step{step},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5},
		}))
		h.handle(dispatch.EntryChanged{Entry: e})
		h.advance(20 * time.Millisecond)
	}
	end := func(index int) {
		run := workload.RunID{Task: workload.TaskID{Submission: "small", Index: index}, Run: 1}
		delete(h.active, run)
		h.sequence++
		h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
		h.advance(20 * time.Millisecond)
	}
	submit("small", workload.Step{
		Tasks: 8, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 16000, MemoryMiB: 10},
	})
	submit("service", workload.Step{
		Tasks: 1, LongRunning: true, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 32000, MemoryMiB: 10},
	})
	is.Equal(h.count(startOf("small")), 4)
	end(0)
	is.Equal(h.count(startOf("small")), 4)
	is.Equal(h.count(startOf("service")), 0)
	end(1)
	is.Equal(h.count(startOf("service")), 1)
	is.Equal(h.count(startOf("small")), 4)
	// Only what the long-running task requests is kept from the other tasks.
	end(2)
	is.Equal(h.count(startOf("small")), 5)
}

// listWorkers lists workers of 64 cores, all of which have reported. change may alter each.
func (h *harness) listWorkers(n int, change func(i int, w *workload.Worker)) {
	list := make([]workload.Worker, n)
	for i := range list {
		id := fmt.Sprintf("w%d", i)
		list[i] = workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20},
		}
		change(i, &list[i])
	}
	h.handle(dispatch.WorkersListed{Workers: list})
	for _, w := range list {
		h.handle(dispatch.HeartbeatAnswered{Worker: w.ID(), SentAt: h.now, Report: workload.Report{Incarnation: w.Incarnation, Clock: h.now}})
	}
	h.advance(20 * time.Millisecond)
}

func finiteStep(tasks int, milliCPU int64) workload.Step {
	return workload.Step{Tasks: tasks, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 10}}
}

func lastingStep(tasks int, milliCPU int64) workload.Step {
	step := finiteStep(tasks, milliCPU)
	step.LongRunning = true
	return step
}

// Guards against a gang that can't be placed as a whole and holds the workers that could
// take a part of it: no other work of the service would start any more.
func TestGangThatDoesNotFitHoldsNoWorkers(t *testing.T) {
	unchanged := func(int, *workload.Worker) {}
	for name, test := range map[string]struct {
		gang   workload.Step
		change func(i int, w *workload.Worker)
		// small is the number of tasks of 32 cores that the usable workers can take.
		small int
	}{
		"larger than its service": {lastingStep(5, 40000), unchanged, 8},
		"limit per worker":        {workload.Step{Tasks: 5, LongRunning: true, MaxPerWorker: 1, Request: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 10}}, unchanged, 8},
		"too few workers with its label": {workload.Step{Tasks: 3, LongRunning: true, Label: "fast", Request: hostapi.Resources{MilliCPU: 40000, MemoryMiB: 10}}, func(i int, w *workload.Worker) {
			if i < 2 {
				w.Labels = []string{"fast"}
			}
		}, 8},
		"evacuated data centre": {lastingStep(4, 40000), func(i int, w *workload.Worker) {
			if i == 0 {
				w.DataCentre = "maadi"
			}
		}, 6},
		"draining worker": {lastingStep(4, 40000), func(i int, w *workload.Worker) { w.Draining = i == 0 }, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.handle(dispatch.Evacuated{DataCentres: map[string]bool{"maadi": true}})
			h.listWorkers(4, test.change)
			test.gang.Gang = true
			h.submit("gang", test.gang)
			is.Equal(h.count(startOf("gang")), 0)
			h.submit("small", finiteStep(10, 32000))
			is.Equal(h.count(startOf("small")), test.small)
		})
	}
}

// Guards against a gang that fits and waits without end, because smaller tasks take each
// piece of capacity that becomes free.
func TestCapacityIsHeldForGangThatFits(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("first", finiteStep(4, 16000))
	gang := lastingStep(2, 30000)
	gang.Gang = true
	h.submit("gang", gang)
	h.submit("second", finiteStep(20, 16000))
	for i := range 4 {
		run := workload.RunID{Task: workload.TaskID{Submission: "first", Index: i}, Run: 1}
		delete(h.active, run)
		h.sequence++
		h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
		h.advance(20 * time.Millisecond)
	}
	is.Equal(h.count(startOf("second")), 0)
	is.Equal(h.count(startOf("gang")), 2)
}

// Guards against a worker that is held without end for a task whose capacity doesn't become
// free: the rest of the worker would stay idle.
func TestHoldEndsWithoutPlacement(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("endless", finiteStep(1, 16000))
	h.submit("service", lastingStep(1, 60000))
	h.submit("small", finiteStep(3, 16000))
	is.Equal(h.count(startOf("small")), 0)
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(startOf("small")), 3)
}

// Guards against holds that leave no worker to the other work of a service.
func TestHoldsLeaveHalfOfTheWorkers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.listWorkers(4, func(int, *workload.Worker) {})
	h.submit("first", finiteStep(4, 34000))
	is.Equal(h.count(startOf("first")), 4)
	for i := range 4 {
		h.submit(fmt.Sprintf("service-%d", i), lastingStep(1, 40000))
	}
	h.submit("small", finiteStep(8, 10000))
	is.Equal(h.count(startOf("small")), 6)
}

// Guards against capacity that counts as taken by a gang that doesn't fit: other cells would
// get none of it.
func TestOffersDoNotCountGangThatDoesNotFit(t *testing.T) {
	is := is.New(t)
	h := newTransferHarness(t)
	h.listReadyWorker()
	gang := lastingStep(2, 40000)
	gang.Gang = true
	h.submit("gang", gang)
	is.Equal(h.machine.FreeCapacity([]dispatch.Demand{demand(64, plainStep)}), []int{64})
}
