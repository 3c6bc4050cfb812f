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

// submitWhileLogStalls submits a step whose placement the log does not answer yet, and
// returns the event of its answer.
func (h *harness) submitWhileLogStalls(id string, step workload.Step) dispatch.Appended {
	h.t.Helper()
	h.logStalled = true
	h.submit(id, step)
	h.logStalled = false
	for _, a := range h.actions {
		if a, ok := a.(dispatch.Append); ok && a.Records[0].Placed.GetTask().GetSubmission() == id {
			return dispatch.Appended{ID: a.ID}
		}
	}
	h.t.Fatal("no placement")
	return dispatch.Appended{}
}

// Guards against the start of a run that was recorded while its worker's capacity
// shrank: a worker that accepts every start would exceed its capacity.
func TestRecordedRunIsNotStartedOnShrunkWorker(t *testing.T) {
	for _, capacity := range []hostapi.Resources{capacityOf(31), {}, {MilliCPU: 64000, MemoryMiB: 199}} {
		is := is.New(t)
		h := newHarness(t)
		h.report()
		h.submit("load", stepOfSize(1, 16))
		recorded := h.submitWhileLogStalls("late", stepOfSize(1, 16))
		h.listCapacity(capacity)
		h.handle(recorded)
		h.advance(300 * time.Millisecond)
		is.Equal(h.count(startOf("late")), 0)
		is.Equal(h.count(stopOf("load")), 0)
		h.listCapacity(capacityOf(64))
		is.Equal(h.count(startOf("late")), 1)
	}
}

// Guards against recorded runs that all give way when the shrunk worker can still take
// some of them.
func TestRecordedRunsThatFitAreStartedOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	recorded := h.submitWhileLogStalls("late", stepOfSize(3, 16))
	h.listCapacity(capacityOf(40))
	h.handle(recorded)
	is.Equal(h.count(startOf("late")), 2)
}

// Guards against a second start command for a run whose first one was not answered, after
// its worker's capacity has shrunk.
func TestUnansweredStartIsNotRepeatedOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("load", stepOfSize(1, 16))
	run := h.submitUnanswered("late", stepOfSize(1, 16))
	h.listCapacity(capacityOf(31))
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("late")), 1)
	// A delayed copy of the command may still be carried out, so the run is stopped.
	h.report()
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("late")), 1)
	is.True(h.count(stopOf("late")) > 0)
	is.Equal(h.count(stopOf("load")), 0)
}

// Guards against the end of a run whose start was not answered but carried out, because
// its worker's capacity has shrunk since.
func TestUnansweredRunGoesOnOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("load", stepOfSize(1, 16))
	run := h.submitUnanswered("late", stepOfSize(1, 16))
	h.active[run] = workload.ActiveRun{RunID: run, ProgressPercent: 10}
	h.listCapacity(capacityOf(31))
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
	h.advance(20 * time.Millisecond)
	h.report()
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(stopOf("late")), 0)
}

// submitUnanswered submits a task whose start the worker does not answer, and returns its
// run.
func (h *harness) submitUnanswered(id string, step workload.Step) workload.RunID {
	recorded := h.submitWhileLogStalls(id, step)
	h.actions = append(h.actions, h.machine.Step(h.now, recorded)...)
	return workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
}

// Guards against a second start command for a run whose first one was not answered, on a
// worker that drains or in a data centre that is evacuated meanwhile.
func TestUnansweredStartIsNotRepeatedOnBlockedWorker(t *testing.T) {
	for name, block := range map[string]func(*harness){
		"draining":  func(h *harness) { h.listWorker(workload.Worker{Draining: true}) },
		"evacuated": func(h *harness) { h.handle(dispatch.Evacuated{DataCentres: map[string]bool{"giza": true}}) },
		"unlisted":  func(h *harness) { h.handle(dispatch.WorkersListed{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			run := h.submitUnanswered("late", plainStep)
			block(h)
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("late")), 1)
			h.report()
			is.Equal(h.count(stopOf("late")), 1)
		})
	}
}

// Guards against the start of a run that a previous owner recorded, on a worker whose
// capacity has shrunk since.
func TestInheritedRunIsNotStartedOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "former", Queue: "q", Steps: []workload.Step{stepOfSize(2, 16)}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	for index := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "former", Index: index}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
	}
	first := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
	h.active[first] = workload.ActiveRun{RunID: first, ProgressPercent: 10}
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
	h.listCapacity(capacityOf(31))
	h.report()
	for range 5 {
		h.advance(300 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(startOf("former")), 0)
}

// listTwo lists two workers with 16 cores each, of which the second has another capacity.
func (h *harness) listTwo(second hostapi.Resources) {
	first := workload.Worker{
		Incarnation: workload.Incarnation{Worker: "v", StartMillis: 1}, Service: "register", Address: "v", DataCentre: "giza", Rack: "r1-1",
		Capacity: capacityOf(16),
	}
	other := first
	other.Worker, other.Address, other.Capacity = "w", "w", second
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{first, other}})
	h.advance(20 * time.Millisecond)
}

// reportNothing answers a heartbeat to a worker without any run.
func (h *harness) reportNothing(worker string) {
	incarnation := workload.Incarnation{Worker: worker, StartMillis: 1}
	h.handle(dispatch.HeartbeatAnswered{Worker: worker, SentAt: h.now, Report: workload.Report{Incarnation: incarnation, Clock: h.now}})
}

// recordedGang returns a harness whose log answers that a gang has been placed, a member
// on each of two workers, after the capacity of the second has become another one.
func recordedGang(t *testing.T, second hostapi.Resources) *harness {
	h := newHarness(t)
	h.listTwo(capacityOf(16))
	h.reportNothing("v")
	h.reportNothing("w")
	gang := stepOfSize(2, 16)
	gang.Gang = true
	recorded := h.submitWhileLogStalls("gang", gang)
	h.listTwo(second)
	h.actions = append(h.actions, h.machine.Step(h.now, recorded)...)
	return h
}

// Guards against a member of a gang that waits for another one whose start was withheld,
// until it ends by itself.
func TestGangIsStoppedWhenAMemberIsNotStarted(t *testing.T) {
	is := is.New(t)
	is.Equal(recordedGang(t, capacityOf(16)).count(startOf("gang")), 2)
	h := recordedGang(t, capacityOf(8))
	is.Equal(h.count(startOf("gang")), 1)
	is.Equal(h.count(stopOf("gang")), 1)
}

// Guards against a member of a gang that waits for another one whose repeated start was
// refused or withheld.
func TestGangIsStoppedWhenAStartIsNotRepeated(t *testing.T) {
	for name, settle := range map[string]func(*harness, workload.RunID){
		"refused": func(h *harness, run workload.RunID) {
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoRoom})
		},
		"withheld": func(h *harness, _ workload.RunID) {
			h.listTwo(capacityOf(8))
			h.reportNothing("w")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := recordedGang(t, capacityOf(16))
			member := func(index int) workload.RunID {
				return workload.RunID{Task: workload.TaskID{Submission: "gang", Index: index}, Run: 1}
			}
			h.handle(dispatch.StartAnswered{Worker: "v", Run: member(0), Answer: dispatch.Done, Clock: h.now})
			h.handle(dispatch.StartAnswered{Worker: "w", Run: member(1), Answer: dispatch.NoAnswer})
			settle(h, member(1))
			stopped := h.count(func(a dispatch.Action) bool {
				s, ok := a.(dispatch.Stop)
				return ok && s.Run == member(0)
			})
			is.True(stopped > 0)
		})
	}
}
