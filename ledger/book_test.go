package ledger_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

func submission(id string) *workload.Submission {
	return &workload.Submission{
		ID: id, Queue: "q", Spec: "spec",
		Steps: []workload.Step{
			{Tasks: 2, Request: hostapi.Resources{MilliCPU: 500, MemoryMiB: 10}, Estimate: time.Second, Image: "a"},
			{Tasks: 1, After: []int{0}, Checkpoints: true},
		},
		Policy:     workload.Policy{Service: "register", MaxAttempts: 2, SlackFactor: 1.5, TargetCompletion: 300 * time.Millisecond},
		AcceptedAt: time.UnixMilli(1000),
	}
}

func task(id string, step, index int) workload.TaskID {
	return workload.TaskID{Submission: id, Step: step, Index: index}
}

func run(t workload.TaskID, number int64) workload.RunID { return workload.RunID{Task: t, Run: number} }

var life = workload.Incarnation{Worker: "w", StartMillis: 7}

func placed(t workload.TaskID, number int64) *ledgerpb.Record {
	return ledger.PlacedRecord(run(t, number), life)
}

func ended(t workload.TaskID, number int64, o workload.Outcome) *ledgerpb.Record {
	return ledger.EndedRecord(run(t, number), o, "")
}

// Guards against a submission that is shown as completed before all its tasks
// are done, and against one that never is.
func TestStatesFollowRecords(t *testing.T) {
	is := is.New(t)
	b := ledger.New()
	is.True(b.Find("s") == nil)
	e := b.Apply(ledger.SubmittedRecord(submission("s")))
	is.Equal(e.State(), workload.Queued)
	is.Equal(b.Pending("q"), 1)
	b.Apply(placed(task("s", 0, 0), 1))
	is.Equal(e.State(), workload.Running)
	is.Equal(b.Pending("q"), 0)
	b.Apply(ended(task("s", 0, 0), 1, workload.Succeeded))
	b.Apply(ended(task("s", 0, 1), 1, workload.Succeeded))
	is.True(e.Occurrence(0).Ready(e.Steps, 1))
	is.Equal(e.State(), workload.Running)
	b.Apply(ended(task("s", 1, 0), 1, workload.Succeeded))
	is.Equal(e.State(), workload.Completed)
	is.Equal(len(b.Live()), 0)
	b.Apply(ledger.CancelledRecord("s"))
	is.Equal(e.State(), workload.Completed)
}

// Guards against attempts that count twice, or that count although the run was
// stopped or lapsed.
func TestOnlyFailuresOfTheOpenRunCount(t *testing.T) {
	is := is.New(t)
	b := ledger.New()
	e := b.Apply(ledger.SubmittedRecord(submission("s")))
	first := task("s", 0, 0)
	b.Apply(placed(first, 1))
	b.Apply(ended(first, 1, workload.Lapsed))
	b.Apply(placed(first, 2))
	b.Apply(ended(first, 2, workload.Errored))
	b.Apply(ended(first, 2, workload.Errored))
	is.Equal(e.Task(first).Failures, 1)
	is.Equal(e.State(), workload.Running)
	b.Apply(placed(first, 3))
	b.Apply(ended(first, 3, workload.Errored))
	is.Equal(e.State(), workload.Failed)
}

// Guards against a gang that needs an end of each member, and one whose failed
// run counts once for each member.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	s := submission("s")
	s.Steps = s.Steps[:1]
	s.Steps[0].Gang = true
	b := ledger.New()
	e := b.Apply(ledger.SubmittedRecord(s))
	for i := range 2 {
		b.Apply(placed(task("s", 0, i), 1))
	}
	b.Apply(ended(task("s", 0, 1), 1, workload.Errored))
	b.Apply(ended(task("s", 0, 0), 1, workload.MemberEnded))
	is.Equal(e.Task(task("s", 0, 0)).Failures, 1)
	is.Equal(e.State(), workload.Running)
	for i := range 2 {
		b.Apply(placed(task("s", 0, i), 2))
	}
	b.Apply(ended(task("s", 0, 1), 2, workload.Succeeded))
	is.Equal(e.State(), workload.Completed)
}

// Guards against a successor that reads a record twice, as it does after a
// repeated read, and reaches another state.
func TestRepeatedRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := []*ledgerpb.Record{ledger.SubmittedRecord(submission("s"))}
		runs := map[int]int64{}
		for range rapid.IntRange(0, 20).Draw(t, "records") {
			index := rapid.IntRange(0, 1).Draw(t, "index")
			if rapid.Bool().Draw(t, "place") {
				runs[index]++
				records = append(records, placed(task("s", 0, index), runs[index]))
			} else if runs[index] > 0 {
				outcome := workload.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
				records = append(records, ended(task("s", 0, index), runs[index], outcome))
			}
		}
		once, twice := ledger.New(), ledger.New()
		for _, r := range records {
			once.Apply(r)
		}
		half := rapid.IntRange(0, len(records)).Draw(t, "half")
		for _, r := range records[:half] {
			twice.Apply(r)
		}
		for _, r := range records[half/2:] {
			twice.Apply(r)
		}
		a, b := once.Find("s"), twice.Find("s")
		if a.State() != b.State() {
			t.Fatalf("%v once, %v with repeats", a.State(), b.State())
		}
		for index := range 2 {
			if x, y := *a.Task(task("s", 0, index)), *b.Task(task("s", 0, index)); x != y {
				t.Fatalf("%+v once, %+v with repeats", x, y)
			}
		}
	})
}

// copyOf returns a book that was made from a snapshot of another one.
func copyOf(is *is.I, b *ledger.Ledger, at ledger.Offsets) *ledger.Ledger {
	var data [][]byte
	for _, p := range b.Snapshot(at) {
		d, err := proto.Marshal(p)
		is.NoErr(err)
		data = append(data, d)
	}
	parts, err := ledger.DecodeSnapshot(data)
	is.NoErr(err)
	later := ledger.New()
	is.Equal(later.ApplySnapshot(parts), at)
	return later
}

// Guards against a reader whose log has lost the older records and that
// forgets a run, an attempt, a done task or a final state with them.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	is := is.New(t)
	b := ledger.New()
	e := b.Apply(ledger.SubmittedRecord(submission("s")))
	b.Apply(placed(task("s", 0, 0), 1))
	b.Apply(ended(task("s", 0, 0), 1, workload.Succeeded))
	b.Apply(placed(task("s", 0, 1), 1))
	b.Apply(ended(task("s", 0, 1), 1, workload.Errored))
	b.Apply(placed(task("s", 0, 1), 2))
	b.Apply(ledger.SubmittedRecord(submission("cancelled")))
	b.Apply(ledger.CancelledRecord("cancelled"))
	b.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "a"}))
	later := copyOf(is, b, ledger.Offsets{Cell: 7, Intake: 3})
	is.Equal(later.Owner().Epoch, int64(3))
	is.Equal(later.Find("cancelled").State(), workload.Cancelled)
	is.Equal(len(later.Live()), 1)
	copied := later.Find("s")
	is.Equal(copied.Steps, e.Steps)
	is.Equal(copied.Policy, e.Policy)
	for i := range 2 {
		is.Equal(*copied.Task(task("s", 0, i)), *e.Task(task("s", 0, i)))
	}
	later.Apply(ended(task("s", 0, 1), 2, workload.Errored))
	is.Equal(copied.State(), workload.Failed)
}

// Guards against a part that is larger than a record of the log, and against
// parts of two snapshots that are taken for one.
func TestSnapshotIsSplit(t *testing.T) {
	is := is.New(t)
	b := ledger.New()
	for i := range 400 {
		s := submission(fmt.Sprint("s", i))
		s.Spec = strings.Repeat("x", 2000)
		b.Apply(ledger.SubmittedRecord(s))
	}
	parts := b.Snapshot(ledger.Offsets{Cell: 1})
	is.True(len(parts) > 1)
	var data [][]byte
	for _, p := range parts {
		d, err := proto.Marshal(p)
		is.NoErr(err)
		is.True(len(d) < 256<<10)
		data = append(data, d)
	}
	older, err := proto.Marshal(b.Snapshot(ledger.Offsets{})[1])
	is.NoErr(err)
	_, err = ledger.DecodeSnapshot([][]byte{data[0], older})
	is.True(errors.Is(err, ledger.ErrIncompleteSnapshot))
	_, err = ledger.DecodeSnapshot(data[:1])
	is.True(errors.Is(err, ledger.ErrIncompleteSnapshot))
	decoded, err := ledger.DecodeSnapshot(append(data, older))
	is.NoErr(err)
	is.Equal(len(decoded), len(parts))
}

// Guards against a malformed record that stops a reader.
func TestBadRecordsAreErrors(t *testing.T) {
	is := is.New(t)
	_, err := ledger.Decode([]byte{0xff, 0x01, 0x02})
	is.True(err != nil)
	b := ledger.New()
	is.True(b.Apply(&ledgerpb.Record{}) == nil)
	is.True(b.Apply(placed(task("unknown", 0, 0), 1)) == nil)
	b.Apply(ledger.SubmittedRecord(submission("s")))
	is.True(b.Apply(placed(task("s", 9, 9), 1)) == nil)
}

// Guards against a book that grows for ever, and one that forgets a submission
// that callers still ask for.
func TestSweepForgetsOnlyOldFinalEntries(t *testing.T) {
	is := is.New(t)
	b := ledger.New()
	b.Apply(ledger.SubmittedRecord(submission("live")))
	b.Apply(ledger.SubmittedRecord(submission("gone")))
	b.Apply(ledger.CancelledRecord("gone"))
	b.Sweep(time.Minute, time.Minute)
	b.Sweep(2*time.Minute, time.Minute)
	is.True(b.Find("gone") != nil)
	b.Sweep(2*time.Minute+time.Second, time.Minute)
	is.True(b.Find("gone") == nil)
	is.True(b.Find("live") != nil)
}
