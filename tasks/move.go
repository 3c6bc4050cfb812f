package tasks

import "github.com/cactusreel/cactusreel/record/recordpb"

// handleMoveRequested starts the move of a pending task to another cell.
func (m *Machine) handleMoveRequested(e MoveRequested) {
	t := m.tasks[e.Task]
	if t == nil || !m.termOpen || t.inFlight != nil || e.To == nil || m.isOwnCell(e.To) {
		return
	}
	if m.statusOf(t) == StatusPending {
		m.recordMove(t, e.To)
	}
}

func (m *Machine) recordMove(t *task, to *recordpb.Cell) {
	m.appendRecord(t, &recordpb.Record{Moved: &recordpb.Moved{
		Task:       t.id,
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		To:         to,
		Move:       t.moveNumber + 1,
		Failures:   t.failures,
	}})
}

// offerMove offers a moved task to its target cell, and retries until the target
// has confirmed the adoption.
func (m *Machine) offerMove(t *task) {
	if t.moveDelivered || (t.offered && m.now-t.offeredAt < m.config.RetryEvery) {
		return
	}
	t.offered, t.offeredAt = true, m.now
	m.emit(OfferMove{To: t.moveTo, Offer: MoveOffered{
		From:       m.ownCell(),
		Task:       t.id,
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		Move:       t.moveNumber,
		Failures:   t.failures,
	}})
}

func (m *Machine) ownCell() *recordpb.Cell {
	return &recordpb.Cell{DataCentre: m.config.DataCentre, Cell: int32(m.config.Cell)}
}

// handleMoveOffered adopts an offered task, or confirms the move if the task was
// adopted before. If this VM has not read the task's job or service yet, it
// ignores the offer, which the source retries.
func (m *Machine) handleMoveOffered(e MoveOffered) {
	if !m.termOpen || m.rescue || m.adoptionsInFlight[e.Task] {
		return
	}
	parsedID, err := ParseTaskID(e.Task)
	if err != nil || m.declared[workKey{name: parsedID.WorkName, created: parsedID.Created}] == nil {
		return
	}
	t := m.tasks[e.Task]
	if t != nil && !m.adoptable(t, e.Move) {
		if e.Move <= t.moveNumber {
			m.confirmMove(e.Task, e.Move, e.From)
		}
		return
	}
	m.adoptionsInFlight[e.Task] = true
	m.emit(Append{Record: &recordpb.Record{Term: m.ownTerm, Adopted: &recordpb.Adopted{
		Task:       e.Task,
		Attempt:    e.Attempt,
		Checkpoint: e.Checkpoint,
		Move:       e.Move,
		Failures:   e.Failures,
		From:       e.From,
	}}})
}

// confirmMove notifies the source cell of a move that the task was adopted.
func (m *Machine) confirmMove(task string, move int64, from *recordpb.Cell) {
	if m.termOpen {
		m.emit(ConfirmMove{To: from, Confirmed: MoveConfirmed{Task: task, Move: move}})
	}
}

// handleMoveConfirmed records that the target cell has adopted a moved task.
func (m *Machine) handleMoveConfirmed(e MoveConfirmed) {
	t := m.tasks[e.Task]
	if t == nil || !m.termOpen || t.inFlight != nil || !t.moved || t.moveDelivered || t.moveNumber != e.Move {
		return
	}
	m.appendRecord(t, &recordpb.Record{Delivered: &recordpb.Delivered{Task: t.id, Move: t.moveNumber}})
}
