package ledger_test

import (
	"errors"
	"fmt"
	"reflect"
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

var incarnation = workload.Incarnation{Worker: "w", StartMillis: 7}

func placed(t workload.TaskID, number int64) *ledgerpb.Record {
	return ledger.PlacedRecord(run(t, number), incarnation, "")
}

func ended(t workload.TaskID, number int64, o workload.Outcome) *ledgerpb.Record {
	return ledger.EndedRecord(run(t, number), o, "")
}

// Guards against a submission that is reported as completed before all its tasks
// are done, or never.
func TestStatesFollowRecords(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	is.True(l.Find("s") == nil)
	e := l.Apply(ledger.SubmittedRecord(submission("s")))
	is.Equal(e.State(), workload.Queued)
	is.Equal(l.Pending("q"), 1)
	l.Apply(placed(task("s", 0, 0), 1))
	is.Equal(e.State(), workload.Running)
	is.Equal(l.Pending("q"), 0)
	l.Apply(ended(task("s", 0, 0), 1, workload.Succeeded))
	l.Apply(ended(task("s", 0, 1), 1, workload.Succeeded))
	is.True(e.Occurrence(0).Ready(e.Steps, 1))
	is.Equal(e.State(), workload.Running)
	l.Apply(ended(task("s", 1, 0), 1, workload.Succeeded))
	is.Equal(e.State(), workload.Completed)
	is.Equal(len(l.Live()), 0)
	l.Apply(ledger.CancelledRecord("s"))
	is.Equal(e.State(), workload.Completed)
}

// Guards against a failure that counts twice, and against stopped or lapsed runs
// that count as failures.
func TestOnlyFailuresOfTheOpenRunCount(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	e := l.Apply(ledger.SubmittedRecord(submission("s")))
	first := task("s", 0, 0)
	l.Apply(placed(first, 1))
	l.Apply(ended(first, 1, workload.Lapsed))
	l.Apply(placed(first, 2))
	l.Apply(ended(first, 2, workload.Errored))
	l.Apply(ended(first, 2, workload.Errored))
	is.Equal(e.Task(first).Failures, 1)
	is.Equal(e.State(), workload.Running)
	l.Apply(placed(first, 3))
	l.Apply(ended(first, 3, workload.Errored))
	is.Equal(e.State(), workload.Failed)
}

// Guards against a gang that is done only when every member has reported its end,
// and against a failed gang run that counts once for each member.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	s := submission("s")
	s.Steps = s.Steps[:1]
	s.Steps[0].Gang = true
	l := ledger.New()
	e := l.Apply(ledger.SubmittedRecord(s))
	for i := range 2 {
		l.Apply(placed(task("s", 0, i), 1))
	}
	l.Apply(ended(task("s", 0, 1), 1, workload.Errored))
	l.Apply(ended(task("s", 0, 0), 1, workload.MemberEnded))
	is.Equal(e.Task(task("s", 0, 0)).Failures, 1)
	is.Equal(e.State(), workload.Running)
	for i := range 2 {
		l.Apply(placed(task("s", 0, i), 2))
	}
	l.Apply(ended(task("s", 0, 1), 2, workload.Succeeded))
	is.Equal(e.State(), workload.Completed)
}

// Guards against a gang that is given up too early, because each member that fails in a run
// counts as a failure of the gang, also after a snapshot between the two.
func TestFailedGangRunCountsOnce(t *testing.T) {
	for name, between := range map[string]func(*ledger.Ledger) *ledger.Ledger{
		"one owner":              func(l *ledger.Ledger) *ledger.Ledger { return l },
		"takeover by a snapshot": func(l *ledger.Ledger) *ledger.Ledger { return restoreSnapshot(is.New(t), l, ledger.Offsets{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := submission("s")
			s.Steps = s.Steps[:1]
			s.Steps[0].Gang, s.Steps[0].Tasks, s.Policy.MaxAttempts = true, 3, 3
			l := ledger.New()
			l.Apply(ledger.SubmittedRecord(s))
			for number := int64(1); number <= 3; number++ {
				for i := range 3 {
					l.Apply(placed(task("s", 0, i), number))
				}
				for _, i := range []int{2, 0, 1} {
					l.Apply(ended(task("s", 0, i), number, workload.Errored))
					l = between(l)
					is.Equal(l.Find("s").State() == workload.Failed, number == 3)
					if number < 3 {
						is.Equal(l.Find("s").Task(task("s", 0, 0)).Failures, int(number))
					}
				}
			}
		})
	}
}

// Guards against a new owner that arrives at a different state because a repeated
// read delivered records twice.
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
			if x, y := *a.Task(task("s", 0, index)), *b.Task(task("s", 0, index)); !reflect.DeepEqual(x, y) {
				t.Fatalf("%+v once, %+v with repeats", x, y)
			}
		}
	})
}

// restoreSnapshot returns a ledger that is restored from a snapshot of another one.
func restoreSnapshot(is *is.I, l *ledger.Ledger, at ledger.Offsets) *ledger.Ledger {
	var data [][]byte
	for _, p := range l.Snapshot(at) {
		d, err := proto.Marshal(p)
		is.NoErr(err)
		data = append(data, d)
	}
	parts, err := ledger.DecodeSnapshot(data)
	is.NoErr(err)
	restored := ledger.New()
	is.Equal(restored.ApplySnapshot(parts), at)
	return restored
}

// Guards against the loss of a run, a failure, a done task or a final state when a
// reader starts from a snapshot because the log no longer has the older records.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	e := l.Apply(ledger.SubmittedRecord(submission("s")))
	l.Apply(placed(task("s", 0, 0), 1))
	l.Apply(ended(task("s", 0, 0), 1, workload.Succeeded))
	l.Apply(placed(task("s", 0, 1), 1))
	l.Apply(ended(task("s", 0, 1), 1, workload.Errored))
	l.Apply(placed(task("s", 0, 1), 2))
	l.Apply(ledger.SubmittedRecord(submission("cancelled")))
	l.Apply(ledger.CancelledRecord("cancelled"))
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "a"}))
	restored := restoreSnapshot(is, l, ledger.Offsets{Cell: 7, Intake: 3})
	is.Equal(restored.Owner().Epoch, int64(3))
	is.Equal(restored.Find("cancelled").State(), workload.Cancelled)
	is.Equal(len(restored.Live()), 1)
	entry := restored.Find("s")
	is.Equal(entry.Steps, e.Steps)
	is.Equal(entry.Policy, e.Policy)
	for i := range 2 {
		is.Equal(*entry.Task(task("s", 0, i)), *e.Task(task("s", 0, i)))
	}
	restored.Apply(ended(task("s", 0, 1), 2, workload.Errored))
	is.Equal(entry.State(), workload.Failed)
}

// Guards against a snapshot part that exceeds the maximum record size of the log,
// and against parts of two snapshots that are accepted as one.
func TestSnapshotIsSplit(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	for i := range 400 {
		s := submission(fmt.Sprint("s", i))
		s.Spec = strings.Repeat("x", 2000)
		l.Apply(ledger.SubmittedRecord(s))
	}
	parts := l.Snapshot(ledger.Offsets{Cell: 1})
	is.True(len(parts) > 1)
	var data [][]byte
	for _, p := range parts {
		d, err := proto.Marshal(p)
		is.NoErr(err)
		is.True(len(d) < 256<<10)
		data = append(data, d)
	}
	older, err := proto.Marshal(l.Snapshot(ledger.Offsets{})[1])
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
	l := ledger.New()
	is.True(l.Apply(&ledgerpb.Record{}) == nil)
	is.True(l.Apply(placed(task("unknown", 0, 0), 1)) == nil)
	l.Apply(ledger.SubmittedRecord(submission("s")))
	is.True(l.Apply(placed(task("s", 9, 9), 1)) == nil)
}

// Guards against a ledger that grows without limit, and against the removal of a
// submission that callers still query.
func TestSweepRemovesOnlyOldFinalEntries(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(submission("live")))
	l.Apply(ledger.SubmittedRecord(submission("gone")))
	l.Apply(ledger.CancelledRecord("gone"))
	l.Sweep(time.Minute, time.Minute)
	l.Sweep(2*time.Minute, time.Minute)
	is.True(l.Find("gone") != nil)
	l.Sweep(2*time.Minute+time.Second, time.Minute)
	is.True(l.Find("gone") == nil)
	is.True(l.Find("live") != nil)
}
