package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// observed takes a worker's answer.
func (m *Machine) observed(e Observed) {
	w := m.workers[e.State.Worker]
	if w == nil || !m.owned || !w.accepts(e) {
		return
	}
	w.boot, w.clock, w.at = e.State.Boot, e.State.Clock, m.now
	w.term = e.State.Term
	w.capacity = e.State.Capacity
	if w.term > m.ownTerm {
		// A newer owner has fenced the worker; its claim will be read.
		return
	}
	w.strange = hostapi.Resources{}
	listed := make(map[string]bool, len(e.State.Attempts))
	for _, a := range e.State.Attempts {
		m.reported(w, a)
		if t := m.tasks[a.ID.Task]; t != nil && t.runs(a.ID, w.id, w.boot) {
			listed[t.id] = true
		}
	}
	m.unlisted(w, listed)
}

// accepts reports whether an answer is newer than the last one. Of two answers
// with the same clock, either can be the older. An answer of another boot counts only if it was asked for after the last answer came:
// answers of different boots can't be ordered by clock.
func (w *worker) accepts(e Observed) bool {
	if w.boot == "" {
		return true
	}
	if w.boot == e.State.Boot {
		return e.State.Clock > w.clock
	}
	return e.SentAt >= w.at
}

// reported takes one attempt of a worker's list.
func (m *Machine) reported(w *worker, a hostapi.Attempt) {
	t := m.tasks[a.ID.Task]
	switch {
	case t != nil && t.runs(a.ID, w.id, w.boot):
		m.reportedLive(t, w, a)
	case a.State == hostapi.AttemptRunning:
		w.strange = w.strange.Add(a.Requests)
		if m.open {
			m.stopStrange(w, a.ID)
		}
	case m.open:
		m.forget(w, a.ID)
	}
}

// reportedLive takes a worker's report of a live attempt.
func (m *Machine) reportedLive(t *task, w *worker, a hostapi.Attempt) {
	if !w.fenced(m.ownTerm) {
		return
	}
	if a.State != hostapi.AttemptRunning {
		m.reportedEnd(t, a)
		return
	}
	t.started, t.listed = true, true
	t.leaseEnd = max(t.leaseEnd, m.now+m.config.stretched(a.LeaseExpiry-w.clock))
	if a.Checkpoint != "" && a.Checkpoint != t.checkpoint {
		t.newCheckpoint = a.Checkpoint
	}
	m.advance(t)
}

// reportedEnd records the end that a worker reports.
func (m *Machine) reportedEnd(t *task, a hostapi.Attempt) {
	m.finish(t, &recordpb.Ended{
		Outcome:    m.outcome(t, a.State),
		Checkpoint: a.Checkpoint,
		Message:    a.Message,
	})
}

// outcome translates a worker's report. A replica of a service is never
// complete: if it ends by itself it has failed.
func (m *Machine) outcome(t *task, s hostapi.AttemptState) recordpb.Outcome {
	switch s {
	case hostapi.AttemptCompleted:
		if w := m.work(t); w != nil && w.Kind == serviceKind {
			return recordpb.Outcome_OUTCOME_FAILED
		}
		return completed
	case hostapi.AttemptFailed:
		return recordpb.Outcome_OUTCOME_FAILED
	case hostapi.AttemptStopped:
		return recordpb.Outcome_OUTCOME_STOPPED
	}
	return recordpb.Outcome_OUTCOME_LAPSED
}

// unlisted ends the live attempts of a worker that its list shows can't run.
func (m *Machine) unlisted(w *worker, listed map[string]bool) {
	if !w.fenced(m.ownTerm) {
		return
	}
	for _, id := range m.sorted() {
		t := m.tasks[id]
		if !t.live || t.worker != w.id || listed[id] {
			continue
		}
		switch {
		case t.boot != w.boot:
			m.finish(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_LAPSED, Message: "worker restarted"})
		case t.listed || t.placedTerm != m.ownTerm:
			m.finish(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_LAPSED, Message: "worker no longer lists the attempt"})
		case t.start != nil && w.clock > t.start.Deadline:
			m.finish(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_NOT_STARTED, Message: "start did not arrive before its deadline"})
		}
	}
}
