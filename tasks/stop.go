package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// stop asks the worker to end the live attempt, repeatedly until it answers
// or the lease has ended.
func (m *Machine) stop(t *task) {
	if t.stopAsked && m.now-t.stopAt < m.config.RetryEvery {
		return
	}
	command, ok := m.command(m.workers[t.worker], t.boot)
	if !ok {
		return
	}
	t.stopAsked, t.stopAt = true, m.now
	m.emit(Stop{Worker: t.worker, Command: command, ID: t.attemptID()})
}

// stopStrange stops an attempt that the cell's stream does not know as live.
func (m *Machine) stopStrange(w *worker, id hostapi.AttemptID) {
	if command, ok := m.command(w, w.boot); ok {
		m.emit(Stop{Worker: w.id, Command: command, ID: id})
	}
}

func (m *Machine) stopAnswered(e StopAnswered) {
	t := m.tasks[e.Report.ID.Task]
	if t == nil || !m.owned || !t.runs(e.Report.ID, e.Worker, e.Boot) {
		return
	}
	if e.Report.State != hostapi.AttemptRunning {
		m.reportedEnd(t, e.Report)
	}
}

// evict notes that an attempt is to be evicted.
func (m *Machine) evict(e EvictRequested) {
	t := m.tasks[e.Task]
	if t == nil || !t.live || t.attempt != e.Attempt || t.evicting || m.isHere(e.To) {
		return
	}
	t.evictAsked, t.evictTo = true, e.To
	m.advance(t)
}

// continueEviction checkpoints the attempt, then stops it.
func (m *Machine) continueEviction(t *task) {
	if t.started && !t.checkpointDone {
		m.checkpointForEviction(t)
		return
	}
	m.stop(t)
}

func (m *Machine) checkpointForEviction(t *task) {
	if t.checkpointFrom == 0 {
		t.checkpointFrom = m.now
	}
	if m.now-t.checkpointFrom >= m.config.CheckpointLimit {
		t.checkpointDone = true
		m.stop(t)
		return
	}
	m.askCheckpoint(t)
}

func (m *Machine) askCheckpoint(t *task) {
	if t.checkpointAt != 0 && m.now-t.checkpointAt < m.config.RetryEvery {
		return
	}
	command, ok := m.command(m.workers[t.worker], t.boot)
	if !ok {
		return
	}
	t.checkpointAt = m.now
	m.emit(Checkpoint{Worker: t.worker, Command: command, ID: t.attemptID()})
}

func (m *Machine) requestCheckpoint(e CheckpointRequested) {
	t := m.tasks[e.Task]
	if t == nil || !m.open || !t.live || t.attempt != e.Attempt || !t.started {
		return
	}
	m.askCheckpoint(t)
}

func (m *Machine) checkpointAnswered(e CheckpointAnswered) {
	t := m.tasks[e.ID.Task]
	if t == nil || !m.open || !t.live || t.attempt != e.ID.Attempt {
		return
	}
	if t.evicting {
		t.checkpointDone = true
	}
	if e.Name != "" && e.Name != t.checkpoint {
		t.newCheckpoint = e.Name
	}
	m.advance(t)
}

// isHere reports whether a cell is this one.
func (m *Machine) isHere(c *recordpb.Cell) bool {
	return c != nil && c.DataCentre == m.config.DataCentre && int(c.Cell) == m.config.Cell
}
