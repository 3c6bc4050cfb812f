package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// advanceAll takes the next step that is due for each task.
func (m *Machine) advanceAll() {
	if !m.termOpen {
		return
	}
	for _, id := range m.sortedTaskIDs() {
		if t, ok := m.tasks[id]; ok {
			m.advance(t)
		}
	}
}

// advance takes the next step that is due for one task. At most one record
// about a task is in flight at a time.
func (m *Machine) advance(t *task) {
	if !m.termOpen || t.inFlight != nil {
		return
	}
	switch {
	case t.live && t.endToRecord != nil:
		m.appendRecord(t, &recordpb.Record{Ended: t.endToRecord})
	case t.live:
		m.advanceLive(t)
	case t.moved:
		m.offerMove(t)
	case t.moveTo != nil && m.statusOf(t) == StatusPending:
		m.recordMove(t, t.moveTo)
	}
}

func (m *Machine) advanceLive(t *task) {
	switch {
	case m.rescue:
		m.endLapsedAttempt(t)
	case t.placedTerm == m.ownTerm && t.start == nil:
		m.startOrWithdraw(t)
	case m.leaseExpired(t):
		m.endLapsedAttempt(t)
	case !m.shouldRun(t):
		m.stopAttempt(t)
	case t.newCheckpoint != "":
		m.appendRecord(t, &recordpb.Record{Checkpoint: &recordpb.Checkpoint{
			Task: t.id, Attempt: t.attempt, Name: t.newCheckpoint,
		}})
	case t.evicting:
		m.continueEviction(t)
	case t.evictRequested:
		m.appendRecord(t, &recordpb.Record{Evicting: &recordpb.Evicting{
			Task: t.id, Attempt: t.attempt, To: t.evictMoveTo,
		}})
	default:
		m.retryStart(t)
	}
}

// appendRecord asks for a record about a task to be appended, and keeps it as
// in flight until it is read back.
func (m *Machine) appendRecord(t *task, r *recordpb.Record) {
	r.Term = m.ownTerm
	t.inFlight = r
	m.emit(Append{Record: r})
}

// endAttempt sets the end of the live attempt to be recorded. If an end has
// already been set, it is kept.
func (m *Machine) endAttempt(t *task, ended *recordpb.Ended) {
	if !t.live || t.endToRecord != nil || t.inFlight.GetEnded() != nil {
		return
	}
	ended.Task, ended.Attempt = t.id, t.attempt
	t.endToRecord = ended
	m.advance(t)
}

// forgetEndedAttempt asks the worker to drop its report of an attempt that has
// ended.
func (m *Machine) forgetEndedAttempt(t *task) {
	if w := m.workers[t.worker]; m.termOpen && w != nil && w.boot == t.boot {
		m.sendForget(w, t.attemptID())
	}
}

func (m *Machine) sendForget(w *worker, id hostapi.AttemptID) {
	if command, ok := m.newCommand(w, w.boot); ok {
		m.emit(Forget{Worker: w.id, Command: command, ID: id})
	}
}
