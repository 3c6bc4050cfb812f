package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// needRoom has room kept for finite tasks, of submissions that are cancelled before they run.
func (h *harness) needRoom(milliCPU int64) {
	for i := range 12 {
		id := fmt.Sprintf("batch%d", i)
		e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "batches", AcceptedAt: time.UnixMilli(h.now.Milliseconds()), Steps: []workload.Step{finiteStep(1, milliCPU)},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3},
		}))
		h.handle(dispatch.EntryChanged{Entry: e})
		h.cancel(id)
	}
	h.advance(20 * time.Millisecond)
}

// Guards against an interrupted long-running task that waits beside room, or for which no finite runs are
// displaced, because a submission before it has new tasks, which yield, beside a suspect of a crash, which
// waits for a decision.
func TestInterruptedTaskDoesNotWaitBehindTasksThatYield(t *testing.T) {
	for name, full := range map[string]bool{"room": false, "finite runs": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			submit := func(id string, step workload.Step, priority int) {
				h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
					ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()), Steps: []workload.Step{step},
					Policy: workload.Policy{Service: "register", MaxAttempts: 3, Priority: priority},
				}))
			}
			interrupt := func(id string, number, evidence int) {
				on := workload.Incarnation{Worker: fmt.Sprintf("gone%d", number), StartMillis: 1}
				run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: int64(number)}
				h.ledger.Apply(ledger.PlacedRecord(run, on, on.Worker))
				switch {
				case evidence > 0:
					h.ledger.Apply(ledger.CrashedRecord(on, []workload.RunID{run}, evidence))
				case id == "before":
					h.ledger.Apply(ledger.LostRecord(on, on.Worker, []workload.RunID{run}))
				}
				h.ledger.Apply(ledger.EndedRecord(run, workload.Lapsed, ""))
			}
			submit("before", lastingStep(3, 20000), 0)
			interrupt("before", 1, ledger.StrongEvidence)
			interrupt("before", 2, ledger.WeakEvidence)
			interrupt("before", 3, 0)
			submit("interrupted", lastingStep(1, 20000), 0)
			interrupt("interrupted", 1, 0)
			if full {
				step := finiteStep(1, 44000)
				step.Estimate = time.Minute
				submit("finite", step, 1)
				run := workload.RunID{Task: workload.TaskID{Submission: "finite"}, Run: 1}
				h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, "w"))
				h.active[run] = workload.ActiveRun{RunID: run}
			}
			h.machine = dispatch.New(dispatch.Config{Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2}, h.ledger, h.now, time.UnixMilli(h.now.Milliseconds()))
			h.needRoom(5000)
			h.listCapacity(capacityOf(44))
			h.report()
			h.wait(3500 * time.Millisecond)
			is.Equal(h.count(startOf("interrupted")), 1)
		})
	}
}

// Guards against new long-running tasks that wait without end beside a worker's room for finite work that no
// longer arrives, more than an eighth of the CPU.
func TestFewWorkersKeepNoMoreThanTheirShare(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.needRoom(32000)
	h.listReadyWorker()
	h.submitLoad("service", load{step: lastingStep(2, 20000)})
	for range 200 {
		h.report()
		h.advance(100 * time.Millisecond)
	}
	is.Equal(h.count(startOf("service")), 2)
}

// Guards against a submission that has no run for as long as the clock of the node that accepted it is ahead.
func TestFirstRunDoesNotWaitForClocks(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.needRoom(5000)
	h.listCapacity(capacityOf(44))
	h.report()
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "service", Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()).Add(time.Minute), Steps: []workload.Step{lastingStep(1, 40000)},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	h.handle(dispatch.EntryChanged{Entry: e})
	for range 100 {
		h.report()
		h.advance(100 * time.Millisecond)
	}
	is.Equal(h.count(startOf("service")), 1)
}

// Guards against room that is kept for finite work long after the last of it has arrived.
func TestRoomIsNotKeptForFormerWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.needRoom(5000)
	h.listCapacity(capacityOf(44))
	h.submitLoad("service", load{step: lastingStep(2, 20000)})
	for range 29 * 5 {
		h.report()
		h.advance(200 * time.Millisecond)
	}
	is.Equal(h.count(startOf("service")), 1)
	for range 3 * 5 {
		h.report()
		h.advance(200 * time.Millisecond)
	}
	is.Equal(h.count(startOf("service")), 2)
}

// Guards against tasks of a cell without workers that wait beside room in another cell which has been offered
// to them, because it is kept for finite tasks.
func TestTasksOfOtherCellsGetKeptRoom(t *testing.T) {
	for _, interrupted := range []bool{true, false} {
		t.Run(fmt.Sprintf("interrupted %v", interrupted), func(t *testing.T) {
			c := newSimCells(t, 1, 1, 3)
			c.endless = true
			c.run(c.now + time.Second)
			if interrupted {
				c.submit(c.cells[0], "moved", 3)
			}
			for i := range 12 {
				id := fmt.Sprintf("batch%d", i)
				c.home[id] = c.cells[1]
				c.cells[1].appendIntake(ledger.SubmittedRecord(&workload.Submission{
					ID: id, Queue: "batches", AcceptedAt: time.UnixMilli(c.now.Milliseconds()), Steps: []workload.Step{finiteStep(1, 16000)},
					Policy: workload.Policy{Service: "register", MaxAttempts: 3},
				}))
				c.cancel(id)
			}
			c.run(c.now + 3*time.Second)
			c.submit(c.cells[1], "own", 8)
			c.run(c.now + time.Second)
			c.removeWorkers(c.cells[0])
			if !interrupted {
				c.submit(c.cells[0], "moved", 3)
			}
			c.run(c.settledAt + 2*maxRestartDelay)
		})
	}
}

// Guards against room that is offered to no other cell because tasks of this one wait that may not have it.
func TestOffersOfRoomThatOwnTasksMayNotHave(t *testing.T) {
	is := is.New(t)
	h := newTransferHarness(t)
	h.advance(20 * time.Millisecond)
	h.needRoom(5000)
	h.listReadyWorker()
	h.submit("service", lastingStep(2, 30000))
	is.Equal(h.count(startOf("service")), 1)
	is.Equal(h.machine.FreeCapacity([]dispatch.Demand{demand(1, finiteStep(1, 30000))}), []int{1})
}
