package ledger_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// crashUnder applies a run of a task on a worker and the worker's crash.
func crashUnder(l *ledger.Ledger, run workload.RunID, evidence int) {
	on := workload.Incarnation{Worker: "w", StartMillis: run.Run}
	l.Apply(ledger.PlacedRecord(run, on, ""))
	for range 2 { // A record that is applied again has no effect.
		l.Apply(ledger.CrashedRecord(on, []workload.RunID{run}, evidence))
	}
}

// Guards against evidence of crashes that a snapshot or a transfer loses, and against a
// count that never ends.
func TestEvidenceOfCrashesOutlastsSnapshotAndTransfer(t *testing.T) {
	is := is.New(t)
	task := workload.TaskID{Submission: "s1"}
	run := func(number int64) workload.RunID { return workload.RunID{Task: task, Run: number} }
	home := ledger.New()
	home.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 2}}}))
	crashUnder(home, run(1), 0)
	crashUnder(home, run(2), ledger.StrongEvidence)
	is.Equal(home.Find("s1").State(), workload.Running)

	var data [][]byte
	for _, p := range home.Snapshot(ledger.Offsets{}) {
		encoded, err := proto.Marshal(p)
		is.NoErr(err)
		data = append(data, encoded)
	}
	parts, err := ledger.DecodeSnapshot(data)
	is.NoErr(err)
	restored := ledger.New()
	restored.ApplySnapshot(parts)
	e := restored.Find("s1")
	is.Equal(e.Task(task).CrashRecord, ledger.CrashRecord{Suspect: true, Evidence: 2, CrashRun: 2})
	is.True(e.EverSuspected())

	restored.Apply(ledger.ReleasedRecord(e.Task(task), 1, ""))
	guest := ledger.New()
	guest.Apply(ledger.TransferredRecord(e, e.Task(task)))
	g := guest.Find("s1")
	is.Equal(g.Task(task).CrashRecord, ledger.CrashRecord{Suspect: true, Evidence: 2, CrashRun: 2})
	crashUnder(guest, run(3), ledger.StrongEvidence)
	is.True(g.Returned(g.Task(task)))
	restored.Apply(ledger.ReturnedRecord(g, g.Task(task)))
	is.Equal(e.State(), workload.Failed)
}

// Guards against giving up a task that has survived its start since the last crash.
func TestSurvivalClearsEvidenceOfCrashes(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
	run := workload.RunID{Task: workload.TaskID{Submission: "s1"}}
	for run.Run = 1; run.Run < 20; run.Run += 2 {
		crashUnder(l, run, ledger.StrongEvidence)
		survivor := run
		survivor.Run++
		l.Apply(ledger.PlacedRecord(survivor, workload.Incarnation{Worker: "w2"}, ""))
		l.Apply(ledger.SurvivedRecord(survivor))
		l.Apply(ledger.CrashedRecord(workload.Incarnation{Worker: "w"}, []workload.RunID{run}, ledger.StrongEvidence))
		is.Equal(l.Find("s1").Task(run.Task).CrashRecord, ledger.CrashRecord{CrashRun: survivor.Run})
	}
	is.Equal(l.Find("s1").State(), workload.Running)
}

// Guards against counting the crashes of several members of a gang's run more than once.
func TestGangRunIsEvidenceOnce(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 3, Gang: true}}}))
	for number := int64(1); number <= 2; number++ {
		is.Equal(l.Find("s1").State().Final(), false)
		for index := range 3 {
			crashUnder(l, workload.RunID{Task: workload.TaskID{Submission: "s1", Index: index}, Run: number}, ledger.StrongEvidence)
		}
	}
	is.Equal(l.Find("s1").State(), workload.Failed)
}

// Guards against a successor that can't reach the worker of an open run because a snapshot
// loses the worker's address.
func TestAddressOfAnOpenRunOutlastsASnapshot(t *testing.T) {
	is := is.New(t)
	task := workload.TaskID{Submission: "s1"}
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
	l.Apply(ledger.PlacedRecord(workload.RunID{Task: task, Run: 1}, workload.Incarnation{Worker: "w", StartMillis: 1}, "127.0.0.1:80"))
	restored := ledger.New()
	restored.ApplySnapshot(l.Snapshot(ledger.Offsets{}))
	is.Equal(restored.Find("s1").Task(task).PlacedAt, "127.0.0.1:80")
	restored.Apply(ledger.EndedRecord(workload.RunID{Task: task, Run: 1}, workload.Stopped, ""))
	is.Equal(restored.Find("s1").Task(task).PlacedAt, "")
}

// Guards against a second run of a task whose first one the next incarnation of its worker may have,
// because a snapshot loses that the worker ends its connections.
func TestEndedConnectionsOfAnOpenRunOutlastASnapshot(t *testing.T) {
	is := is.New(t)
	task := workload.TaskID{Submission: "s1"}
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
	placed := ledger.PlacedRecord(workload.RunID{Task: task, Run: 1}, workload.Incarnation{Worker: "w", StartMillis: 1}, "")
	placed.Placed.EndsConnections = true
	l.Apply(placed)
	restored := ledger.New()
	restored.ApplySnapshot(l.Snapshot(ledger.Offsets{}))
	is.True(restored.Find("s1").Task(task).EndsConnections)
}

// Guards against evidence of a lost run that does not count, or counts twice, because it is
// known only after a later run, another owner or a snapshot.
func TestLateEvidenceOfALostRunCountsOnce(t *testing.T) {
	is := is.New(t)
	task := workload.TaskID{Submission: "s1"}
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
	crashUnder(l, workload.RunID{Task: task, Run: 1}, 0)
	lost := workload.RunID{Task: task, Run: 2}
	on := workload.Incarnation{Worker: "lost", StartMillis: 2}
	l.Apply(ledger.PlacedRecord(lost, on, "127.0.0.1:80"))
	for range 2 {
		l.Apply(ledger.LostRecord(on, "127.0.0.1:80", []workload.RunID{lost}))
	}
	crashUnder(l, workload.RunID{Task: task, Run: 3}, ledger.WeakEvidence)
	restored := ledger.New()
	restored.ApplySnapshot(l.Snapshot(ledger.Offsets{}))
	e := restored.Find("s1")
	c := e.CrashRecordOf(e.Task(task))
	is.Equal(c.Undecided, []ledger.LostRun{{Run: 2, On: on, Address: "127.0.0.1:80"}})
	is.Equal(c.Evidence, ledger.WeakEvidence)
	for range 2 {
		restored.Apply(ledger.CrashedRecord(on, []workload.RunID{lost}, ledger.WeakEvidence))
	}
	is.Equal(*c, ledger.CrashRecord{Suspect: true, Evidence: 2 * ledger.WeakEvidence, CrashRun: 3})
}

// Guards against evidence of a lost run whose worker answered again, or which a later run
// has outlasted.
func TestLostRunThatIsClearedIsNoEvidence(t *testing.T) {
	for _, survivor := range []int64{2, 3} {
		is := is.New(t)
		task := workload.TaskID{Submission: "s1"}
		l := ledger.New()
		l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
		lost := workload.RunID{Task: task, Run: 2}
		on := workload.Incarnation{Worker: "lost", StartMillis: 2}
		l.Apply(ledger.PlacedRecord(lost, on, "127.0.0.1:80"))
		l.Apply(ledger.LostRecord(on, "127.0.0.1:80", []workload.RunID{lost}))
		l.Apply(ledger.PlacedRecord(workload.RunID{Task: task, Run: 3}, workload.Incarnation{Worker: "w"}, ""))
		l.Apply(ledger.SurvivedRecord(workload.RunID{Task: task, Run: survivor}))
		l.Apply(ledger.CrashedRecord(on, []workload.RunID{lost}, ledger.StrongEvidence))
		is.Equal(l.Find("s1").Task(task).CrashRecord, ledger.CrashRecord{CrashRun: survivor})
	}
}

// Guards against a task that is held without need, and one that is started although its
// lost runs would suffice to give it up.
func TestUndecidedRunsCountAsWeakEvidenceForTheLimit(t *testing.T) {
	is := is.New(t)
	task := workload.TaskID{Submission: "s1"}
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "s1", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}))
	crashUnder(l, workload.RunID{Task: task, Run: 1}, ledger.StrongEvidence)
	e := l.Find("s1")
	for number := int64(2); number <= 3; number++ {
		is.Equal(e.CrashLimitPending(e.Task(task)), false)
		run, on := workload.RunID{Task: task, Run: number}, workload.Incarnation{Worker: "w", StartMillis: number}
		l.Apply(ledger.PlacedRecord(run, on, "a"))
		l.Apply(ledger.LostRecord(on, "a", []workload.RunID{run}))
	}
	is.True(e.CrashLimitPending(e.Task(task)))
}
