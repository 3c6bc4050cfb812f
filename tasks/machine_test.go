package tasks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/tasks"
)

// harness drives one machine. The records that it emits are read back only when
// a test calls readBack.
type harness struct {
	*tasks.Machine
	now           time.Duration
	clock         time.Duration
	offset        int64
	unreadRecords []*recordpb.Record
	lastActions   []tasks.Action
	work          tasks.Work
}

const harnessTask = "job/2/0"

func newHarness(owned tasks.Owned) *harness {
	h := &harness{now: time.Minute, clock: time.Hour}
	h.work = tasks.Work{
		Kind: api.KindJob, Name: "job", Created: 2, Count: 1, MaxRetries: 1, RunTime: time.Minute,
		Requests: hostapi.Resources{MilliCPU: 1000}, DataCentres: []tasks.DataCentre{{Name: "giza", Cells: 1}},
	}
	h.Machine = tasks.New(tasks.DefaultConfig("vm", "giza", 0))
	h.step(tasks.PlacingChanged{Allowed: true})
	h.step(tasks.WorkChanged{Work: h.work})
	h.step(tasks.WorkThrough{Version: 2})
	h.step(tasks.WorkersListed{Workers: []tasks.Worker{{ID: "w", Capacity: hostapi.Resources{MilliCPU: 1500}}}})
	h.step(tasks.AuthorityChanged{PlaceUntil: time.Hour, RenewUntil: time.Hour})
	h.step(owned)
	h.readBack()
	h.observe(time.Second)
	return h
}

func (h *harness) step(ev tasks.Event) {
	h.lastActions = h.Step(h.now, ev)
	for _, action := range h.lastActions {
		if a, ok := action.(tasks.Append); ok {
			h.unreadRecords = append(h.unreadRecords, a.Record)
		}
	}
}

// readBack applies the emitted records one by one, and those emitted meanwhile.
// lastActions are then the actions of all these steps.
func (h *harness) readBack() {
	var actions []tasks.Action
	for len(h.unreadRecords) > 0 {
		r := h.unreadRecords[0]
		h.unreadRecords = h.unreadRecords[1:]
		h.offset++
		h.step(tasks.Applied{Offset: h.offset, ID: record.ID{Incarnation: 1, Sequence: uint64(h.offset)}, Records: []*recordpb.Record{r}})
		actions = append(actions, h.lastActions...)
	}
	h.lastActions = actions
}

// observe advances the time by step and delivers the worker's state with the
// given attempts.
func (h *harness) observe(step time.Duration, attempts ...hostapi.Attempt) {
	h.now += step
	h.clock += step
	h.step(tasks.Observed{SentAt: h.now, State: hostapi.WorkerState{
		Worker: "w", Boot: "b", Clock: h.clock, Term: 9, Capacity: hostapi.Resources{MilliCPU: 1500}, Attempts: attempts,
	}})
}

func (h *harness) status() tasks.Status {
	view, _ := h.Task(harnessTask)
	return view.Status
}

func emitted[A tasks.Action](h *harness) bool {
	for _, action := range h.lastActions {
		if _, ok := action.(A); ok {
			return true
		}
	}
	return false
}

func attemptReport(number int64, state hostapi.AttemptState) hostapi.Attempt {
	return hostapi.Attempt{ID: hostapi.AttemptID{Task: harnessTask, Attempt: number}, State: state, LeaseExpiry: 2 * time.Hour}
}

// Guards against starting a task that was cancelled before its Placed record was
// read back, and against placing it again.
func TestCancelBeforePlacedIsReadBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9})
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	h.work.Cancelled = true
	h.step(tasks.WorkChanged{Work: h.work})
	h.readBack()
	is.True(!emitted[tasks.Start](h))
	is.Equal(h.status(), tasks.StatusCancelled)
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	is.Equal(len(h.unreadRecords), 0)
}

// Guards against an eviction that overrides the completion of the attempt: the
// worker reports the completion before it answers the checkpoint and the stop.
func TestCompletionWinsOverEviction(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9})
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	h.readBack()
	is.True(emitted[tasks.Start](h))
	h.observe(time.Second, attemptReport(1, hostapi.AttemptRunning))
	h.step(tasks.EvictRequested{Task: harnessTask, Attempt: 1})
	h.readBack()
	is.Equal(h.status(), tasks.StatusEvicting)
	is.True(emitted[tasks.Checkpoint](h))
	h.observe(time.Second, attemptReport(1, hostapi.AttemptCompleted))
	h.step(tasks.CheckpointAnswered{ID: hostapi.AttemptID{Task: harnessTask, Attempt: 1}, Name: "late"})
	h.step(tasks.StopAnswered{Worker: "w", Boot: "b", Report: attemptReport(1, hostapi.AttemptStopped)})
	h.readBack()
	is.True(emitted[tasks.Forget](h))
	view, _ := h.Task(harnessTask)
	is.Equal(view.Status, tasks.StatusCompleted)
	is.Equal(view.Checkpoint, "")
}

// Guards against accepting an answer whose clock equals that of the last one. It
// can be older than the start, and accepting it ended an attempt that was running.
func TestAnswerWithEqualClockIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9})
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	h.readBack()
	h.observe(time.Second, attemptReport(1, hostapi.AttemptRunning))
	h.observe(0)
	is.Equal(h.status(), tasks.StatusPlaced)
	is.Equal(len(h.unreadRecords), 0)
	h.observe(time.Nanosecond)
	h.readBack()
	is.Equal(h.status(), tasks.StatusPending)
}

// Guards against unbounded retries of a task that always fails.
func TestFailedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9})
	for number := int64(1); number <= 2; number++ {
		is.Equal(h.status(), tasks.StatusPending)
		h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
		h.readBack()
		h.observe(time.Second, attemptReport(number, hostapi.AttemptFailed))
		h.readBack()
	}
	is.Equal(h.status(), tasks.StatusFailed)
}

// Guards against placements by a rescue owner, which may only move tasks to other
// cells.
func TestRescueOwnerOnlyMovesTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9, Rescue: true})
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	is.Equal(len(h.unreadRecords), 0)
	h.step(tasks.MoveRequested{Task: harnessTask, To: &recordpb.Cell{DataCentre: "maadi", Cell: 1}})
	h.readBack()
	is.Equal(h.status(), tasks.StatusMoved)
	is.True(emitted[tasks.OfferMove](h))
	h.step(tasks.MoveConfirmed{Task: harnessTask, Move: 1})
	h.readBack()
	h.now += time.Minute
	h.step(tasks.Tick{})
	is.True(!emitted[tasks.OfferMove](h))
}

// Guards against treating a replica that ended as completed, against replicas
// that keep running after the replica count was lowered, and against replicas
// that are not placed again after it was raised.
func TestServiceReplicaLifecycle(t *testing.T) {
	is := is.New(t)
	h := newHarness(tasks.Owned{Term: 9})
	h.work.Kind, h.work.MaxRetries = api.KindService, 0
	h.step(tasks.WorkChanged{Work: h.work})
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	h.readBack()
	h.observe(time.Second, attemptReport(1, hostapi.AttemptCompleted))
	h.readBack()
	is.Equal(h.status(), tasks.StatusPending)
	h.step(tasks.PlacementDecided{Task: harnessTask, Worker: "w"})
	h.readBack()
	h.observe(time.Second, attemptReport(2, hostapi.AttemptRunning))
	h.work.Count = 0
	h.step(tasks.WorkChanged{Work: h.work})
	is.True(emitted[tasks.Stop](h))
	h.step(tasks.StopAnswered{Worker: "w", Boot: "b", Report: attemptReport(2, hostapi.AttemptStopped)})
	h.readBack()
	is.Equal(h.status(), tasks.StatusSurplus)
	h.work.Count = 1
	h.step(tasks.WorkChanged{Work: h.work})
	is.Equal(h.status(), tasks.StatusPending)
	h.step(tasks.WorkChanged{Work: h.work, Deleted: true})
	is.Equal(len(h.Tasks()), 0)
}
