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

// bench drives one machine; its records are read back on demand.
type bench struct {
	*tasks.Machine
	now     time.Duration
	clock   time.Duration
	offset  int64
	pending []*recordpb.Record
	last    []tasks.Action
	work    tasks.Work
}

const benchTask = "job/2/0"

func newBench(owned tasks.Owned) *bench {
	b := &bench{now: time.Minute, clock: time.Hour}
	b.work = tasks.Work{
		Kind: api.KindJob, Name: "job", Created: 2, Count: 1, MaxRetries: 1, RunTime: time.Minute,
		Requests: hostapi.Resources{MilliCPU: 1000}, DataCentres: []tasks.DataCentre{{Name: "giza", Cells: 1}},
	}
	b.Machine = tasks.New(tasks.DefaultConfig("vm", "giza", 0))
	b.do(tasks.PlacingChanged{Allowed: true})
	b.do(tasks.WorkChanged{Work: b.work})
	b.do(tasks.WorkThrough{Version: 2})
	b.do(tasks.WorkersListed{Workers: []tasks.Worker{{ID: "w", Capacity: hostapi.Resources{MilliCPU: 1500}}}})
	b.do(tasks.AuthorityChanged{PlaceUntil: time.Hour, RenewUntil: time.Hour})
	b.do(owned)
	b.readBack()
	b.observe(time.Second)
	return b
}

func (b *bench) do(ev tasks.Event) {
	b.last = b.Step(b.now, ev)
	for _, action := range b.last {
		if a, ok := action.(tasks.Append); ok {
			b.pending = append(b.pending, a.Record)
		}
	}
}

// readBack applies the records that were asked for, one by one.
func (b *bench) readBack() {
	var seen []tasks.Action
	for len(b.pending) > 0 {
		r := b.pending[0]
		b.pending = b.pending[1:]
		b.offset++
		b.do(tasks.Applied{Offset: b.offset, ID: record.ID{Incarnation: 1, Sequence: uint64(b.offset)}, Records: []*recordpb.Record{r}})
		seen = append(seen, b.last...)
	}
	b.last = seen
}

// observe lets time pass and brings the worker's list.
func (b *bench) observe(step time.Duration, attempts ...hostapi.Attempt) {
	b.now += step
	b.clock += step
	b.do(tasks.Observed{SentAt: b.now, State: hostapi.WorkerState{
		Worker: "w", Boot: "b", Clock: b.clock, Term: 9, Capacity: hostapi.Resources{MilliCPU: 1500}, Attempts: attempts,
	}})
}

func (b *bench) status() tasks.Status {
	view, _ := b.Task(benchTask)
	return view.Status
}

func did[A tasks.Action](b *bench) bool {
	for _, action := range b.last {
		if _, ok := action.(A); ok {
			return true
		}
	}
	return false
}

func attempt(number int64, state hostapi.AttemptState) hostapi.Attempt {
	return hostapi.Attempt{ID: hostapi.AttemptID{Task: benchTask, Attempt: number}, State: state, LeaseExpiry: 2 * time.Hour}
}

// Guards against a start after the cancel was read, and against a second
// placement of a task whose cancel came after Placed.
func TestCancelBetweenPlacedAndReadBack(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9})
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	b.work.Cancelled = true
	b.do(tasks.WorkChanged{Work: b.work})
	b.readBack()
	is.True(!did[tasks.Start](b))
	is.Equal(b.status(), tasks.StatusCancelled)
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	is.Equal(len(b.pending), 0)
}

// Guards against an eviction that undoes a completion read before its end.
func TestCompletionWinsOverEviction(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9})
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	b.readBack()
	is.True(did[tasks.Start](b))
	b.observe(time.Second, attempt(1, hostapi.AttemptRunning))
	b.do(tasks.EvictRequested{Task: benchTask, Attempt: 1})
	b.readBack()
	is.Equal(b.status(), tasks.StatusEvicting)
	is.True(did[tasks.Checkpoint](b))
	b.observe(time.Second, attempt(1, hostapi.AttemptCompleted))
	b.do(tasks.CheckpointAnswered{ID: hostapi.AttemptID{Task: benchTask, Attempt: 1}, Name: "late"})
	b.do(tasks.StopAnswered{Worker: "w", Boot: "b", Report: attempt(1, hostapi.AttemptStopped)})
	b.readBack()
	is.True(did[tasks.Forget](b))
	view, _ := b.Task(benchTask)
	is.Equal(view.Status, tasks.StatusCompleted)
	is.Equal(view.Checkpoint, "")
}

// Guards against an answer with an equal clock that was made before the start
// arrived: it ended an attempt that was running.
func TestEqualClocksAreNotOrdered(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9})
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	b.readBack()
	b.observe(time.Second, attempt(1, hostapi.AttemptRunning))
	b.observe(0)
	is.Equal(b.status(), tasks.StatusPlaced)
	is.Equal(len(b.pending), 0)
	b.observe(time.Nanosecond)
	b.readBack()
	is.Equal(b.status(), tasks.StatusPending)
}

// Guards against unbounded retries of a task that always fails.
func TestFailuresAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9})
	for number := int64(1); number <= 2; number++ {
		is.Equal(b.status(), tasks.StatusPending)
		b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
		b.readBack()
		b.observe(time.Second, attempt(number, hostapi.AttemptFailed))
		b.readBack()
	}
	is.Equal(b.status(), tasks.StatusFailed)
}

// Guards against placements by a rescuer, which may only move tasks away.
func TestRescueOnlyMoves(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9, Rescue: true})
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	is.Equal(len(b.pending), 0)
	b.do(tasks.MoveRequested{Task: benchTask, To: &recordpb.Cell{DataCentre: "maadi", Cell: 1}})
	b.readBack()
	is.Equal(b.status(), tasks.StatusMoved)
	is.True(did[tasks.OfferMove](b))
	b.do(tasks.MoveConfirmed{Task: benchTask, Move: 1})
	b.readBack()
	b.now += time.Minute
	b.do(tasks.Tick{})
	is.True(!did[tasks.OfferMove](b))
}

// Guards against a replica that is taken for complete because it ended, and
// against replicas that outlive a lower replica count or are lost by it.
func TestServiceReplicas(t *testing.T) {
	is := is.New(t)
	b := newBench(tasks.Owned{Term: 9})
	b.work.Kind, b.work.MaxRetries = api.KindService, 0
	b.do(tasks.WorkChanged{Work: b.work})
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	b.readBack()
	b.observe(time.Second, attempt(1, hostapi.AttemptCompleted))
	b.readBack()
	is.Equal(b.status(), tasks.StatusPending)
	b.do(tasks.PlacementDecided{Task: benchTask, Worker: "w"})
	b.readBack()
	b.observe(time.Second, attempt(2, hostapi.AttemptRunning))
	b.work.Count = 0
	b.do(tasks.WorkChanged{Work: b.work})
	is.True(did[tasks.Stop](b))
	b.do(tasks.StopAnswered{Worker: "w", Boot: "b", Report: attempt(2, hostapi.AttemptStopped)})
	b.readBack()
	is.Equal(b.status(), tasks.StatusSurplus)
	b.work.Count = 1
	b.do(tasks.WorkChanged{Work: b.work})
	is.Equal(b.status(), tasks.StatusPending)
	b.do(tasks.WorkChanged{Work: b.work, Deleted: true})
	is.Equal(len(b.Tasks()), 0)
}
