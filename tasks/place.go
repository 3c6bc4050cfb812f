package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// mayStart reports whether this VM has the authority to place and start tasks
// now.
func (m *Machine) mayStart() bool {
	if !m.owned || !m.termOpen || m.rescue {
		return false
	}
	if !m.placingAllowed && !m.config.Unsafe.NoTakeOut {
		return false
	}
	return m.now < m.placeUntil
}

// handlePlacementDecided records the placement of a pending task.
func (m *Machine) handlePlacementDecided(e PlacementDecided) {
	t, w := m.tasks[e.Task], m.workers[e.Worker]
	if t == nil || w == nil || !m.mayStart() || !m.placeable(t) || !m.ready(w) {
		return
	}
	requests := e.Requests
	if requests == (hostapi.Resources{}) {
		requests = m.nextRequests(t)
	}
	if !m.reservedByWorker()[w.id].Add(requests).Fits(w.capacity) {
		return
	}
	m.appendRecord(t, &recordpb.Record{Placed: &recordpb.Placed{
		Task:     t.id,
		Attempt:  t.attempt + 1,
		Worker:   w.id,
		Boot:     w.boot,
		Resumes:  t.checkpoint,
		Requests: resourcesToProto(requests),
	}})
}

func (m *Machine) placeable(t *task) bool {
	if t.inFlight != nil || t.moveTo != nil {
		return false
	}
	if m.config.Unsafe.NoEndedFirst && t.live {
		return true
	}
	return m.statusOf(t) == StatusPending
}

// startOrWithdraw starts an attempt that was placed in this term, or ends it as
// not started if starting it is no longer permitted.
func (m *Machine) startOrWithdraw(t *task) {
	w := m.workers[t.worker]
	if w == nil || w.boot != t.boot || !m.mayStart() || !m.shouldRun(t) || m.workOf(t) == nil {
		m.endAttempt(t, &recordpb.Ended{
			Outcome: recordpb.Outcome_OUTCOME_NOT_STARTED,
			Message: "permission to start ended before the placement was read back",
		})
		return
	}
	t.start = m.newStart(t, w)
	t.leaseEnd = m.now + m.config.withDriftMargin(m.config.Lease)
	m.sendStart(t)
}

func (m *Machine) newStart(t *task, w *worker) *hostapi.Start {
	work := m.workOf(t)
	start := &hostapi.Start{
		Command: hostapi.Command{
			Term:     m.ownTerm,
			Boot:     t.boot,
			Deadline: w.deadline(&m.config, m.placeUntil),
		},
		ID:          t.attemptID(),
		Kind:        work.TaskKind,
		Requests:    t.requests,
		Checkpoint:  t.checkpoint,
		LeaseExpiry: m.leaseExpiry(w),
		Work:        work.RunTime,
	}
	if work.Kind == serviceKind {
		start.Service = work.Name
	}
	return start
}

// sendStart sends the start command. A retry has the same deadline and lease as
// the first start, so that it is idempotent.
func (m *Machine) sendStart(t *task) {
	t.startSentAt = m.now
	start := *t.start
	if m.config.Unsafe.NoStartDeadline {
		start.Deadline = noDeadline
	}
	m.emit(Start{Worker: t.worker, Start: start})
}

// retryStart retries an unanswered start. Attempts that previous owners placed
// have no start command here.
func (m *Machine) retryStart(t *task) {
	if t.start == nil || t.startAnswered || t.started || !m.mayStart() || m.now-t.startSentAt < m.config.RetryEvery {
		return
	}
	m.sendStart(t)
}

func (m *Machine) handleStartAnswered(e StartAnswered) {
	t := m.tasks[e.ID.Task]
	if t == nil || t.start == nil || t.start.ID != e.ID || t.worker != e.Worker {
		return
	}
	t.startAnswered = true
	t.started = t.started || !e.Refused
}
