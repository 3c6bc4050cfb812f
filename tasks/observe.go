package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// handleObserved updates the state of a worker, and of the attempts on it, from
// its answer.
func (m *Machine) handleObserved(e Observed) {
	w := m.workers[e.State.Worker]
	if w == nil || !m.owned || !w.accepts(e) {
		return
	}
	w.boot, w.clock, w.answeredAt = e.State.Boot, e.State.Clock, m.now
	w.term = e.State.Term
	w.capacity = e.State.Capacity
	if w.term > m.ownTerm {
		// A newer owner has fenced the worker. This VM will read its claim later.
		return
	}
	w.unknownUsage = hostapi.Resources{}
	listed := make(map[string]bool, len(e.State.Attempts))
	for _, a := range e.State.Attempts {
		m.handleReportedAttempt(w, a)
		if t := m.tasks[a.ID.Task]; t != nil && t.isLiveAttempt(a.ID, w.id, w.boot) {
			listed[t.id] = true
		}
	}
	m.endUnlistedAttempts(w, listed)
}

// accepts reports whether an answer is certainly newer than the last one. Two
// answers with the same clock value can't be ordered. Nor can the clocks of
// different boots: an answer of another boot is accepted only if its request was
// sent after the last answer arrived.
func (w *worker) accepts(e Observed) bool {
	if w.boot == "" {
		return true
	}
	if w.boot == e.State.Boot {
		return e.State.Clock > w.clock
	}
	return e.SentAt >= w.answeredAt
}

// handleReportedAttempt handles one entry of a worker's list of attempts. It stops
// running attempts that are not live in the task stream.
func (m *Machine) handleReportedAttempt(w *worker, a hostapi.Attempt) {
	t := m.tasks[a.ID.Task]
	switch {
	case t != nil && t.isLiveAttempt(a.ID, w.id, w.boot):
		m.handleLiveReport(t, w, a)
	case a.State == hostapi.AttemptRunning:
		w.unknownUsage = w.unknownUsage.Add(a.Requests)
		if m.termOpen {
			m.stopUnknownAttempt(w, a.ID)
		}
	case m.termOpen:
		m.sendForget(w, a.ID)
	}
}

// handleLiveReport handles a worker's report of a live attempt.
func (m *Machine) handleLiveReport(t *task, w *worker, a hostapi.Attempt) {
	if !w.fenced(m.ownTerm) {
		return
	}
	if a.State != hostapi.AttemptRunning {
		m.endFromReport(t, a)
		return
	}
	t.started, t.listedByWorker = true, true
	t.leaseEnd = max(t.leaseEnd, m.now+m.config.withDriftMargin(a.LeaseExpiry-w.clock))
	if a.Checkpoint != "" && a.Checkpoint != t.checkpoint {
		t.newCheckpoint = a.Checkpoint
	}
	m.advance(t)
}

// endFromReport ends an attempt that a worker reports as ended.
func (m *Machine) endFromReport(t *task, a hostapi.Attempt) {
	m.endAttempt(t, &recordpb.Ended{
		Outcome:    m.outcomeOf(t, a.State),
		Checkpoint: a.Checkpoint,
		Message:    a.Message,
	})
}

// outcomeOf converts the state that a worker reports for an ended attempt. A
// service replica never completes: if it ends by itself it has failed.
func (m *Machine) outcomeOf(t *task, s hostapi.AttemptState) recordpb.Outcome {
	switch s {
	case hostapi.AttemptCompleted:
		if w := m.workOf(t); w != nil && w.Kind == serviceKind {
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

// endUnlistedAttempts ends the live attempts of a worker that are missing from
// its list and can no longer run.
func (m *Machine) endUnlistedAttempts(w *worker, listed map[string]bool) {
	if !w.fenced(m.ownTerm) {
		return
	}
	for _, id := range m.sortedTaskIDs() {
		t := m.tasks[id]
		if !t.live || t.worker != w.id || listed[id] {
			continue
		}
		switch {
		case t.boot != w.boot:
			m.endAttempt(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_LAPSED, Message: "worker restarted"})
		case t.listedByWorker || t.placedTerm != m.ownTerm:
			m.endAttempt(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_LAPSED, Message: "worker no longer lists the attempt"})
		case t.start != nil && w.clock > t.start.Deadline:
			m.endAttempt(t, &recordpb.Ended{Outcome: recordpb.Outcome_OUTCOME_NOT_STARTED, Message: "start did not arrive before its deadline"})
		}
	}
}
