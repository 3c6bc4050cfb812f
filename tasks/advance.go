package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// advanceAll does what is due for every task.
func (m *Machine) advanceAll() {
	if !m.open {
		return
	}
	for _, id := range m.sorted() {
		if t, ok := m.tasks[id]; ok {
			m.advance(t)
		}
	}
}

// advance does what is due for one task. It writes at most one record about
// a task at a time.
func (m *Machine) advance(t *task) {
	if !m.open || t.inFlight != nil {
		return
	}
	switch {
	case t.live && t.ended != nil:
		m.record(t, &recordpb.Record{Ended: t.ended})
	case t.live:
		m.advanceLive(t)
	case t.moved:
		m.offer(t)
	case t.to != nil && m.status(t) == StatusPending:
		m.recordMove(t, t.to)
	}
}

func (m *Machine) advanceLive(t *task) {
	switch {
	case m.rescue:
		m.endLapsed(t)
	case t.placedTerm == m.ownTerm && t.start == nil:
		m.startOrWithdraw(t)
	case m.lapsed(t):
		m.endLapsed(t)
	case !m.wanted(t):
		m.stop(t)
	case t.newCheckpoint != "":
		m.record(t, &recordpb.Record{Checkpoint: &recordpb.Checkpoint{
			Task: t.id, Attempt: t.attempt, Name: t.newCheckpoint,
		}})
	case t.evicting:
		m.continueEviction(t)
	case t.evictAsked:
		m.record(t, &recordpb.Record{Evicting: &recordpb.Evicting{
			Task: t.id, Attempt: t.attempt, To: t.evictTo,
		}})
	default:
		m.repeatStart(t)
	}
}

// record asks for a record about a task to be appended.
func (m *Machine) record(t *task, r *recordpb.Record) {
	r.Term = m.ownTerm
	t.inFlight = r
	m.emit(Append{Record: r})
}

// finish decides the end of the live attempt. The first decision stays.
func (m *Machine) finish(t *task, ended *recordpb.Ended) {
	if !t.live || t.ended != nil || t.inFlight.GetEnded() != nil {
		return
	}
	ended.Task, ended.Attempt = t.id, t.attempt
	t.ended = ended
	m.advance(t)
}

// forgetEnded lets the worker drop its report of an attempt that has ended.
func (m *Machine) forgetEnded(t *task) {
	if w := m.workers[t.worker]; m.open && w != nil && w.boot == t.boot {
		m.forget(w, t.attemptID())
	}
}

func (m *Machine) forget(w *worker, id hostapi.AttemptID) {
	if command, ok := m.command(w, w.boot); ok {
		m.emit(Forget{Worker: w.id, Command: command, ID: id})
	}
}
