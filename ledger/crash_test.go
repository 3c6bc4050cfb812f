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
