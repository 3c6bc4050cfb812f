package ledger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// gangLedger returns a ledger with a gang of three tasks, and its entry.
func gangLedger() (*ledger.Ledger, *ledger.Entry) {
	l := ledger.New()
	e := l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s", Queue: "q", Steps: []workload.Step{{Tasks: 3, Gang: true, Checkpoints: true}}}))
	return l, e
}

func placedFrom(t workload.TaskID, number int64, checkpoint string) *ledgerpb.Record {
	r := placed(t, number)
	r.Placed.Checkpoint = checkpoint
	return r
}

func endedWith(t workload.TaskID, number int64, checkpoint string) *ledgerpb.Record {
	return ledger.EndedRecord(run(t, number), workload.MemberEnded, checkpoint)
}

// checkpoints returns those from which the members of the gang resume.
func checkpoints(e *ledger.Entry) (all []string) {
	for i := range 3 {
		all = append(all, e.CheckpointOf(e.Task(task("s", 0, i))))
	}
	return all
}

// Guards against a successor that lets a run resume from an older checkpoint than the run before,
// which its predecessor knew and started that run with.
func TestCheckpointOfARunIsRecordedWithIt(t *testing.T) {
	for name, takeOver := range map[string]func(is *is.I, l *ledger.Ledger) *ledger.Ledger{
		"log":      func(_ *is.I, l *ledger.Ledger) *ledger.Ledger { return l },
		"snapshot": func(is *is.I, l *ledger.Ledger) *ledger.Ledger { return restoreSnapshot(is, l, ledger.Offsets{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := gangLedger()
			l.Apply(ledger.SubmittedRecord(submission("alone")))
			// The other placements of the run are not in the log yet.
			l.Apply(placedFrom(task("s", 0, 0), 1, "c1"))
			l.Apply(placedFrom(task("alone", 0, 0), 1, "c2"))
			l = takeOver(is, l)
			is.Equal(checkpoints(l.Find("s")), []string{"c1", "c1", "c1"})
			alone := l.Find("alone")
			is.Equal(alone.CheckpointOf(alone.Task(task("alone", 0, 0))), "c2")
			is.Equal(alone.CheckpointOf(alone.Task(task("alone", 0, 1))), "")
		})
	}
}

// Guards against an end of an earlier run that changes the checkpoint of a gang's newest one.
func TestEndOfAnEarlierRunOfAGangLeavesItsCheckpoint(t *testing.T) {
	is := is.New(t)
	l, e := gangLedger()
	for i := range 3 {
		l.Apply(placedFrom(task("s", 0, i), 1, ""))
	}
	l.Apply(endedWith(task("s", 0, 0), 1, "c1"))
	is.Equal(checkpoints(e), []string{"c1", "c1", "c1"})
	l.Apply(placedFrom(task("s", 0, 0), 2, "c1"))
	l.Apply(endedWith(task("s", 0, 1), 1, "c2"))
	is.Equal(checkpoints(e), []string{"c1", "c1", "c1"})
	l.Apply(endedWith(task("s", 0, 0), 2, "c3"))
	is.Equal(checkpoints(e), []string{"c3", "c3", "c3"})
}

// Guards against members of a gang that resume from different checkpoints because the records of an
// earlier version, whose placements have none, left different ones.
func TestMembersOfAGangThatAnEarlierVersionRanResumeFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	l, _ := gangLedger()
	for i := range 3 {
		l.Apply(placed(task("s", 0, i), 1))
	}
	parts := l.Snapshot(ledger.Offsets{})
	for _, p := range parts {
		for _, r := range p.Live {
			r.Tasks[1].Checkpoint, r.Tasks[2].Checkpoint = "c1", "c2"
		}
	}
	l = ledger.New()
	l.ApplySnapshot(parts)
	is.Equal(checkpoints(l.Find("s")), []string{"c1", "c1", "c1"})
	l.Apply(placed(task("s", 0, 0), 2))
	is.Equal(checkpoints(l.Find("s")), []string{"c1", "c1", "c1"})
}
