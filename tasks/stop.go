package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// stopAttempt asks the worker to stop the live attempt, and retries until it
// answers or the lease has expired.
func (m *Machine) stopAttempt(t *task) {
	if t.stopSent && m.now-t.stopSentAt < m.config.RetryEvery {
		return
	}
	command, ok := m.newCommand(m.workers[t.worker], t.boot)
	if !ok {
		return
	}
	t.stopSent, t.stopSentAt = true, m.now
	m.emit(Stop{Worker: t.worker, Command: command, ID: t.attemptID()})
}

// stopUnknownAttempt asks a worker to stop an attempt that is not live in the
// cell's task stream.
func (m *Machine) stopUnknownAttempt(w *worker, id hostapi.AttemptID) {
	if command, ok := m.newCommand(w, w.boot); ok {
		m.emit(Stop{Worker: w.id, Command: command, ID: id})
	}
}

func (m *Machine) handleStopAnswered(e StopAnswered) {
	t := m.tasks[e.Report.ID.Task]
	if t == nil || !m.owned || !t.isLiveAttempt(e.Report.ID, e.Worker, e.Boot) {
		return
	}
	if e.Report.State != hostapi.AttemptRunning {
		m.endFromReport(t, e.Report)
	}
}

// handleEvictRequested starts the eviction of the live attempt.
func (m *Machine) handleEvictRequested(e EvictRequested) {
	t := m.tasks[e.Task]
	if t == nil || !t.live || t.attempt != e.Attempt || t.evicting || m.isOwnCell(e.To) {
		return
	}
	t.evictRequested, t.evictMoveTo = true, e.To
	m.advance(t)
}

// continueEviction asks for a checkpoint of the attempt, then stops it.
func (m *Machine) continueEviction(t *task) {
	if t.started && !t.evictCheckpointDone {
		m.checkpointForEviction(t)
		return
	}
	m.stopAttempt(t)
}

func (m *Machine) checkpointForEviction(t *task) {
	if t.evictCheckpointSince == 0 {
		t.evictCheckpointSince = m.now
	}
	if m.now-t.evictCheckpointSince >= m.config.CheckpointLimit {
		t.evictCheckpointDone = true
		m.stopAttempt(t)
		return
	}
	m.sendCheckpoint(t)
}

func (m *Machine) sendCheckpoint(t *task) {
	if t.checkpointSentAt != 0 && m.now-t.checkpointSentAt < m.config.RetryEvery {
		return
	}
	command, ok := m.newCommand(m.workers[t.worker], t.boot)
	if !ok {
		return
	}
	t.checkpointSentAt = m.now
	m.emit(Checkpoint{Worker: t.worker, Command: command, ID: t.attemptID()})
}

func (m *Machine) handleCheckpointRequested(e CheckpointRequested) {
	t := m.tasks[e.Task]
	if t == nil || !m.termOpen || !t.live || t.attempt != e.Attempt || !t.started {
		return
	}
	m.sendCheckpoint(t)
}

func (m *Machine) handleCheckpointAnswered(e CheckpointAnswered) {
	t := m.tasks[e.ID.Task]
	if t == nil || !m.termOpen || !t.live || t.attempt != e.ID.Attempt {
		return
	}
	if t.evicting {
		t.evictCheckpointDone = true
	}
	if e.Name != "" && e.Name != t.checkpoint {
		t.newCheckpoint = e.Name
	}
	m.advance(t)
}

func (m *Machine) isOwnCell(c *recordpb.Cell) bool {
	return c != nil && c.DataCentre == m.config.DataCentre && int(c.Cell) == m.config.Cell
}
