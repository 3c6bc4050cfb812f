package ledger

import (
	"slices"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Evidence that a task, or a gang, crashes its workers.
const (
	// StrongEvidence is that of a crash under an isolated start without a sign of another
	// cause, WeakEvidence that of one with such a sign.
	StrongEvidence = 2
	WeakEvidence   = 1
	// conclusiveEvidence is the sum from which the task is given up: two crashes at least.
	conclusiveEvidence = 4
)

// CrashRecord is what is known of the crashes of workers under a task.
type CrashRecord struct {
	// Suspect is true if a run of the task is among the suspects of a crash and none has
	// survived since.
	Suspect bool
	// Evidence is the sum of the evidence since a run survived.
	Evidence int
	// CrashRun is the newest run that is cleared or adds to the evidence, or 0.
	CrashRun int64
	// Undecided are the runs that may still become evidence.
	Undecided []LostRun
}

// LostRun is an isolated run of which it is not known whether its worker crashed, or was
// only cut off until its leases had expired.
type LostRun struct {
	Run     int64
	On      workload.Incarnation
	Address string
}

// forget removes the undecided runs for which decided returns true. It reports whether
// there were any.
func (c *CrashRecord) forget(decided func(LostRun) bool) bool {
	var left []LostRun
	for _, u := range c.Undecided {
		if !decided(u) {
			left = append(left, u)
		}
	}
	found := len(left) < len(c.Undecided)
	c.Undecided = left
	return found
}

// CrashedRecord returns the record of a worker's crash with the runs that may have
// caused it and the evidence against them, or 0 if their start was not isolated.
func CrashedRecord(on workload.Incarnation, suspects []workload.RunID, evidence int) *ledgerpb.Record {
	r := &ledgerpb.Crashed{Worker: on.Worker, Born: on.StartMillis, Evidence: int32(evidence)}
	for _, s := range suspects {
		r.Suspects = append(r.Suspects, &ledgerpb.Suspect{Task: taskMessage(s.Task), Run: s.Run})
	}
	return &ledgerpb.Record{Crashed: r}
}

// LostRecord returns the record of isolated runs whose worker's leases have expired: it may
// have crashed, or may only be cut off.
func LostRecord(on workload.Incarnation, address string, suspects []workload.RunID) *ledgerpb.Record {
	r := CrashedRecord(on, suspects, 0)
	r.Crashed.Undecided, r.Crashed.Address = true, address
	return r
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
		if r.Undecided {
			lost := LostRun{Run: s.Run, On: workload.Incarnation{Worker: r.Worker, StartMillis: r.Born}, Address: r.Address}
			e.addUndecided(t, lost)
		}
		e.suspect(t, s.Run, int(r.Evidence))
		l.updateState(e)
	}
	return first
}

func (e *Entry) addUndecided(t *Task, lost LostRun) {
	c := e.CrashRecordOf(t)
	if t.Done || t.Away || lost.Run <= c.CrashRun || slices.Contains(c.Undecided, lost) {
		return
	}
	c.Undecided = append(slices.Clone(c.Undecided), lost)
}

// suspect counts the evidence of a run once: if it is newer than all that count, or if it
// was undecided until now.
func (e *Entry) suspect(t *Task, run int64, evidence int) {
	c := e.CrashRecordOf(t)
	undecided := evidence > 0 && c.forget(func(u LostRun) bool { return u.Run == run })
	if t.Done || t.Away || run <= c.CrashRun && !undecided {
		return
	}
	c.Suspect, e.everSuspected = true, true
	if evidence == 0 {
		return
	}
	c.Evidence += evidence
	c.CrashRun = max(c.CrashRun, run)
	if !e.CrashLimitReached(t) {
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
	switch {
	case e.CrashLimitReached(t):
	case r.Run >= c.CrashRun:
		c.forget(func(u LostRun) bool { return u.Run <= r.Run })
		*c = CrashRecord{Suspect: len(c.Undecided) > 0, CrashRun: r.Run, Undecided: c.Undecided}
	default:
		c.forget(func(u LostRun) bool { return u.Run == r.Run })
	}
	return e
}

// CrashLimitPending reports whether a task would be given up if all its undecided runs had
// crashed their workers.
func (e *Entry) CrashLimitPending(t *Task) bool {
	c := e.CrashRecordOf(t)
	runs := make(map[int64]bool, len(c.Undecided))
	for _, u := range c.Undecided {
		runs[u.Run] = true
	}
	return c.Evidence+len(runs)*WeakEvidence >= conclusiveEvidence
}

// CrashLimitReached reports whether a task is given up because workers crashed under it.
func (e *Entry) CrashLimitReached(t *Task) bool {
	return e.CrashRecordOf(t).Evidence >= conclusiveEvidence
}

// hopeless reports whether a task must not be run again although it is not done.
func (e *Entry) hopeless(t *Task) bool { return e.attemptsExhausted(t) || e.CrashLimitReached(t) }

// mergeCrashes takes over a crash record that is at least as new as the present one.
func (e *Entry) mergeCrashes(t *Task, suspect bool, evidence int32, run int64, undecided []*ledgerpb.LostRun) {
	if run < t.CrashRun {
		return
	}
	t.CrashRecord = CrashRecord{Suspect: suspect || t.Suspect && run == t.CrashRun, Evidence: int(evidence), CrashRun: run}
	for _, u := range undecided {
		lost := LostRun{Run: u.Run, On: workload.Incarnation{Worker: u.Worker, StartMillis: u.Born}, Address: u.Address}
		t.Undecided = append(t.Undecided, lost)
	}
	e.everSuspected = e.everSuspected || suspect
}

// undecidedMessages returns undecided runs for a snapshot.
func undecidedMessages(undecided []LostRun) []*ledgerpb.LostRun {
	var out []*ledgerpb.LostRun
	for _, u := range undecided {
		out = append(out, &ledgerpb.LostRun{Run: u.Run, Worker: u.On.Worker, Born: u.On.StartMillis, Address: u.Address})
	}
	return out
}
