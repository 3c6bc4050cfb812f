package tasks

import "github.com/cactusreel/cactusreel/record/recordpb"

// requestMove gives a pending task up to another cell.
func (m *Machine) requestMove(e MoveRequested) {
	t := m.tasks[e.Task]
	if t == nil || !m.open || t.inFlight != nil || e.To == nil || m.isHere(e.To) {
		return
	}
	if m.status(t) == StatusPending {
		m.recordMove(t, e.To)
	}
}

func (m *Machine) recordMove(t *task, to *recordpb.Cell) {
	m.record(t, &recordpb.Record{Moved: &recordpb.Moved{
		Task:       t.id,
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		To:         to,
		Move:       t.move + 1,
		Failures:   t.failures,
	}})
}

// offer offers a moved task to its target until it has confirmed the adoption.
func (m *Machine) offer(t *task) {
	if t.delivered || (t.offered && m.now-t.offeredAt < m.config.RetryEvery) {
		return
	}
	t.offered, t.offeredAt = true, m.now
	m.emit(OfferMove{To: t.to, Offer: MoveOffered{
		From:       m.cell(),
		Task:       t.id,
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		Move:       t.move,
		Failures:   t.failures,
	}})
}

func (m *Machine) cell() *recordpb.Cell {
	return &recordpb.Cell{DataCentre: m.config.DataCentre, Cell: int32(m.config.Cell)}
}

// moveOffered adopts an offered task, or confirms that it was adopted before.
// Work that this VM has not read yet makes it wait for the next offer.
func (m *Machine) moveOffered(e MoveOffered) {
	if !m.open || m.rescue || m.adopting[e.Task] {
		return
	}
	name, err := ParseTaskID(e.Task)
	if err != nil || m.works[workKey{name: name.Name, created: name.Created}] == nil {
		return
	}
	t := m.tasks[e.Task]
	if t != nil && !m.adoptable(t, e.Move) {
		if e.Move <= t.move {
			m.confirm(e.Task, e.Move, e.From)
		}
		return
	}
	m.adopting[e.Task] = true
	m.emit(Append{Record: &recordpb.Record{Term: m.ownTerm, Adopted: &recordpb.Adopted{
		Task:       e.Task,
		Attempt:    e.Attempt,
		Checkpoint: e.Checkpoint,
		Move:       e.Move,
		Failures:   e.Failures,
		From:       e.From,
	}}})
}

// confirm tells the source of a move that it was adopted.
func (m *Machine) confirm(task string, move int64, from *recordpb.Cell) {
	if m.open {
		m.emit(ConfirmMove{To: from, Confirmed: MoveConfirmed{Task: task, Move: move}})
	}
}

// moveConfirmed records that a move was adopted.
func (m *Machine) moveConfirmed(e MoveConfirmed) {
	t := m.tasks[e.Task]
	if t == nil || !m.open || t.inFlight != nil || !t.moved || t.delivered || t.move != e.Move {
		return
	}
	m.record(t, &recordpb.Record{Delivered: &recordpb.Delivered{Task: t.id, Move: t.move}})
}
