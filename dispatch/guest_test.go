package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// transferConfig is that of cell 1; all submissions belong to cell 0.
var transferConfig = dispatch.Config{
	Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute,
	CellOf: func(string) int { return 0 },
}

// newTransferHarness returns a harness of a cell that has others beside it.
func newTransferHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.machine = dispatch.New(transferConfig, h.ledger, h.now, time.Now())
	return h
}

// listReadyWorker lists the worker and lets it report, so that it is given runs.
func (h *harness) listReadyWorker() {
	h.listWorker(workload.Worker{})
	h.advance(20 * time.Millisecond)
	h.report()
}

// receive takes over the first task of a submission that another cell transfers.
func (h *harness) receive(id string, step workload.Step) {
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(guestTransfer(id, step))})
}

func (h *harness) confirm(id string) {
	h.handle(dispatch.GuestsConfirmed{IDs: []string{id}, SentAt: h.now})
}

// guestTransfer returns the Transferred record of the first task of a submission of
// another cell.
func guestTransfer(id string, step workload.Step) *ledgerpb.Record {
	home := ledger.New()
	e := home.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 2},
	}))
	t := e.Task(workload.TaskID{Submission: id})
	home.Apply(ledger.ReleasedRecord(t, 1, ""))
	return ledger.TransferredRecord(e, t)
}

func longRunningStep() workload.Step {
	step := plainStep
	step.LongRunning = true
	return step
}

// transfers returns the Transfer actions so far.
func (h *harness) transfers() []dispatch.Transfer {
	var out []dispatch.Transfer
	for _, a := range h.actions {
		if t, ok := a.(dispatch.Transfer); ok {
			out = append(out, t)
		}
	}
	return out
}

// Guards against a successor that starts a guest's task which the previous owner placed
// but did not start, without knowing whether the submission has been cancelled since.
func TestInheritedGuestIsNotStartedUnconfirmed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(guestTransfer("guest", longRunningStep()))
	h.ledger.Apply(ledger.PlacedRecord(workload.RunID{Task: workload.TaskID{Submission: "guest"}, Run: 1}, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
	h.machine = dispatch.New(transferConfig, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	for range 4 {
		h.advance(20 * time.Millisecond)
		h.report()
	}
	is.Equal(h.count(startOf("guest")), 0)
}

// Guards against a guest that is started long after its last confirmation because the
// record of its placement took long, or because the start had no answer.
func TestGuestIsNotStartedLongAfterItsConfirmation(t *testing.T) {
	is := is.New(t)
	h := newTransferHarness(t)
	h.listReadyWorker()
	h.receive("guest", longRunningStep())
	confirmedAt := h.now
	h.now += 2400 * time.Millisecond
	h.logStalled = true
	h.handle(dispatch.GuestsConfirmed{IDs: []string{"guest"}, SentAt: confirmedAt})
	placed := 0
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	h.logStalled = false
	for _, a := range h.actions {
		if a, ok := a.(dispatch.Append); ok {
			placed++
			h.handle(dispatch.Appended{ID: a.ID})
		}
	}
	is.True(placed > 0)
	is.Equal(h.count(startOf("guest")), 0)
}

// Guards against a guest that waits for the next check of all guests before it is
// confirmed for the first time.
func TestNewGuestIsCheckedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newTransferHarness(t)
	h.receive("first", longRunningStep())
	h.listReadyWorker()
	before := len(h.actions)
	h.receive("guest", longRunningStep())
	var checked []string
	for _, a := range h.actions[before:] {
		if a, ok := a.(dispatch.CheckGuests); ok {
			checked = append(checked, a.IDs...)
		}
	}
	is.Equal(checked, []string{"guest"})
	is.Equal(h.count(startOf("guest")), 0)
	h.confirm("guest")
	is.Equal(h.count(startOf("guest")), 0) // rounds of planning have a minimum distance
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("guest")), 1)
}

// Guards against a batch that never ends, or gets more attempts than its queue allows,
// because the guest's cell keeps the finished task or drops its failures.
func TestFinishedGuestTasksAreReturned(t *testing.T) {
	for _, outcome := range []workload.Outcome{workload.Succeeded, workload.Errored} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			h := newTransferHarness(t)
			h.listReadyWorker()
			h.receive("guest", plainStep)
			for sequence := int64(1); len(h.active) > 0 || sequence == 1; sequence++ {
				h.confirm("guest")
				h.advance(100 * time.Millisecond)
				h.report()
				is.Equal(len(h.transfers()), 0)
				is.Equal(len(h.active), 1)
				for run := range h.active {
					delete(h.active, run)
					h.report(workload.EndedRun{RunID: run, Sequence: sequence, Outcome: outcome})
				}
				h.confirm("guest")
				h.advance(2 * time.Second)
				h.report()
			}
			is.Equal(len(h.transfers()), 1)
			returned := h.transfers()[0]
			is.Equal(returned.Cell, 0)
			task := returned.Record.Transferred.Tasks[0]
			if outcome == workload.Succeeded {
				is.True(task.Done)
				is.Equal(h.count(startOf("guest")), 1)
				return
			}
			is.True(!task.Done)
			is.Equal(task.Failures, int32(2)) // all attempts of the queue
			is.Equal(h.count(startOf("guest")), 2)
		})
	}
}
