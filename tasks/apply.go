package tasks

import (
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// completed is the outcome after which a task never runs again.
const completed = recordpb.Outcome_OUTCOME_COMPLETED

// applyBatch applies one batch of the stream, unless a batch with its offset or
// its id has been applied before.
func (m *Machine) applyBatch(e Applied) {
	if e.Offset <= m.offset {
		return
	}
	m.offset = e.Offset
	if !m.filter.Accept(e.ID, e.Offset) {
		return
	}
	for _, r := range e.Records {
		m.recordsSinceSnapshot++
		m.applyRecord(r)
	}
}

// applyRecord applies one record. Records of a term other than the highest
// opened one are ignored: their writer has been superseded.
func (m *Machine) applyRecord(r *recordpb.Record) {
	if r.GetChunk() != nil {
		m.recordsSinceSnapshot, m.snapshotRequested = 0, false
		return
	}
	if r.GetOpen() != nil {
		m.applyOpen(r)
		return
	}
	if r.Term != m.term && !m.config.Unsafe.NoTermFence {
		return
	}
	id := taskOf(r)
	if id == "" {
		return
	}
	t := m.getOrCreateTask(id)
	if t == nil {
		return
	}
	m.applyTask(t, r)
	if proto.Equal(t.inFlight, r) {
		t.inFlight = nil
	}
	m.advance(t)
	if m.prunable(t) {
		delete(m.tasks, id)
		m.sortedIDs = nil
	}
}

func (m *Machine) applyOpen(r *recordpb.Record) {
	if r.Term <= m.term {
		return
	}
	m.term = r.Term
	switch {
	case !m.owned:
	case r.Term == m.ownTerm:
		m.termOpen = true
		m.advanceAll()
	case r.Term > m.ownTerm:
		m.endTerm()
	}
}

// taskOf returns the id of the task that a record is about, or "".
func taskOf(r *recordpb.Record) string {
	switch {
	case r.Placed != nil:
		return r.Placed.Task
	case r.Evicting != nil:
		return r.Evicting.Task
	case r.Checkpoint != nil:
		return r.Checkpoint.Task
	case r.Ended != nil:
		return r.Ended.Task
	case r.Moved != nil:
		return r.Moved.Task
	case r.Delivered != nil:
		return r.Delivered.Task
	case r.Adopted != nil:
		return r.Adopted.Task
	}
	return ""
}

func (m *Machine) applyTask(t *task, r *recordpb.Record) {
	switch {
	case r.Placed != nil:
		m.applyPlaced(t, r.Term, r.Placed)
	case r.Evicting != nil:
		t.applyEvicting(r.Evicting)
	case r.Checkpoint != nil:
		t.applyCheckpoint(r.Checkpoint)
	case r.Ended != nil:
		m.applyEnded(t, r.Ended)
	case r.Moved != nil:
		t.applyMoved(r.Moved)
	case r.Delivered != nil:
		t.applyDelivered(r.Delivered)
	case r.Adopted != nil:
		m.applyAdopted(t, r.Adopted)
	}
	t.hasRecords = true
}

func (m *Machine) applyPlaced(t *task, term int64, r *recordpb.Placed) {
	if t.live && !m.config.Unsafe.NoEndedFirst {
		return
	}
	if t.moved || t.outcome == completed || r.Attempt != t.attempt+1 {
		return
	}
	t.attempt = r.Attempt
	t.live = true
	t.evicting = false
	t.worker, t.boot = r.Worker, r.Boot
	t.placedTerm = term
	t.requests = resourcesFromProto(r.Requests)
	t.outcome = recordpb.Outcome_OUTCOME_UNSPECIFIED
	t.message = ""
	t.localState = localState{}
}

func (t *task) applyEvicting(r *recordpb.Evicting) {
	if !t.live || r.Attempt != t.attempt {
		return
	}
	t.evicting = true
	t.moveTo = r.To
}

func (t *task) applyCheckpoint(r *recordpb.Checkpoint) {
	if !t.live || r.Attempt != t.attempt {
		return
	}
	t.checkpoint = r.Name
	if t.newCheckpoint == r.Name {
		t.newCheckpoint = ""
	}
}

func (m *Machine) applyEnded(t *task, r *recordpb.Ended) {
	if !t.live || r.Attempt != t.attempt {
		return
	}
	t.live = false
	t.evicting = false
	t.outcome = r.Outcome
	t.message = r.Message
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	switch r.Outcome {
	case completed:
		t.checkpoint, t.moveTo = "", nil
	case recordpb.Outcome_OUTCOME_FAILED:
		t.failures++
	}
	t.localState = localState{}
	m.forgetEndedAttempt(t)
}

func (t *task) applyMoved(r *recordpb.Moved) {
	if t.live || t.moved || r.Attempt != t.attempt || r.Move != t.moveNumber+1 {
		return
	}
	t.moved = true
	t.moveDelivered = false
	t.moveTo = r.To
	t.moveNumber = r.Move
}

func (t *task) applyDelivered(r *recordpb.Delivered) {
	if t.moved && r.Move == t.moveNumber {
		t.moveDelivered = true
	}
}

func (m *Machine) applyAdopted(t *task, r *recordpb.Adopted) {
	if m.termOpen {
		delete(m.adoptionsInFlight, r.Task)
	}
	if !m.adoptable(t, r.Move) {
		return
	}
	t.moved, t.moveDelivered = false, false
	t.live, t.evicting = false, false
	t.moveTo = nil
	t.attempt = r.Attempt
	t.checkpoint = r.Checkpoint
	t.failures = r.Failures
	t.moveNumber = r.Move
	t.outcome = recordpb.Outcome_OUTCOME_UNSPECIFIED
	m.confirmMove(r.Task, r.Move, r.From)
}

// adoptable reports whether a move of a task to this cell is still to be adopted:
// it is newer than the last known move, and the task is not in this cell. The task
// is nil if this cell has no state for it.
func (m *Machine) adoptable(t *task, move int64) bool {
	if m.config.Unsafe.NoAdoptOnce || t == nil {
		return true
	}
	return move > t.moveNumber && (t.moved || !t.hasRecords)
}
