package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// maxCrashes is the number of crashes that count against a task, or a gang, from which
// it is given up.
const maxCrashes = 2

// CrashRecord is what is known of the crashes of workers under a task.
type CrashRecord struct {
	// Suspect is true if a run of the task is among the suspects of a crash and none has
	// survived since.
	Suspect bool
	// Crashes is the number of crashes that count against the task.
	Crashes int
	// CrashRun is the newest run that is cleared or of which a crash counts, or 0.
	CrashRun int64
}

// CrashedRecord returns the record of a worker's crash with the runs that may have
// caused it. If it is attributed, it counts against the task, or the gang, of these runs.
func CrashedRecord(on workload.Incarnation, suspects []workload.RunID, attributed bool) *ledgerpb.Record {
	r := &ledgerpb.Crashed{Worker: on.Worker, Born: on.StartMillis, Attributed: attributed}
	for _, s := range suspects {
		r.Suspects = append(r.Suspects, &ledgerpb.Suspect{Task: taskMessage(s.Task), Run: s.Run})
	}
	return &ledgerpb.Record{Crashed: r}
}

// SurvivedRecord returns the record that clears a suspect.
func SurvivedRecord(run workload.RunID) *ledgerpb.Record {
	return &ledgerpb.Record{Survived: &ledgerpb.Survived{Task: taskMessage(run.Task), Run: run.Run}}
}

// CrashRecordOf returns the crash record that holds for a task of the entry.
func (e *Entry) CrashRecordOf(t *Task) *CrashRecord {
	if e.Steps[t.ID.Step].Gang {
		return &e.stepOf(t).Tasks[0].CrashRecord
	}
	return &t.CrashRecord
}

// EverSuspected reports whether a task of the entry has been suspected of a crash.
func (e *Entry) EverSuspected() bool { return e.everSuspected }

// applyCrashed returns the entry of the first suspect that the ledger knows, or nil.
func (l *Ledger) applyCrashed(r *ledgerpb.Crashed) *Entry {
	var first *Entry
	for _, s := range r.Suspects {
		e, t := l.findTask(s.Task)
		if t == nil {
			continue
		}
		if first == nil {
			first = e
		}
		e.suspect(t, s.Run, r.Attributed)
		l.updateState(e)
	}
	return first
}

func (e *Entry) suspect(t *Task, run int64, attributed bool) {
	c := e.CrashRecordOf(t)
	if t.Done || t.Away || run <= c.CrashRun {
		return
	}
	c.Suspect, e.everSuspected = true, true
	if !attributed {
		return
	}
	c.Crashes++
	c.CrashRun = run
	if c.Crashes < maxCrashes {
		return
	}
	if !e.Steps[t.ID.Step].Gang {
		t.closeRun()
		e.finish(t, false)
		return
	}
	members := e.stepOf(t).Tasks
	for i := range members {
		members[i].closeRun()
		members[i].CrashRecord = *c
		e.finish(&members[i], false)
	}
}

func (l *Ledger) applySurvived(r *ledgerpb.Survived) *Entry {
	e, t := l.findTask(r.Task)
	if t == nil {
		return nil
	}
	c := e.CrashRecordOf(t)
	if r.Run >= c.CrashRun && !e.CrashLimitReached(t) {
		*c = CrashRecord{CrashRun: r.Run}
	}
	return e
}

// CrashLimitReached reports whether a task is given up because workers crashed under it.
func (e *Entry) CrashLimitReached(t *Task) bool { return e.CrashRecordOf(t).Crashes >= maxCrashes }

// hopeless reports whether a task must not be run again although it is not done.
func (e *Entry) hopeless(t *Task) bool { return e.attemptsExhausted(t) || e.CrashLimitReached(t) }

// mergeCrashes takes over a crash record that is at least as new as the present one.
func (e *Entry) mergeCrashes(t *Task, suspect bool, crashes int32, run int64) {
	if run < t.CrashRun {
		return
	}
	t.CrashRecord = CrashRecord{Suspect: suspect || t.Suspect && run == t.CrashRun, Crashes: int(crashes), CrashRun: run}
	e.everSuspected = e.everSuspected || suspect
}
