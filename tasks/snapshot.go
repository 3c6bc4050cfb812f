package tasks

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Snapshot returns the encoded stream state. Equal states have equal encodings.
// Tasks without records follow from the declared work and are left out, and so
// are tasks of deleted work that have no live attempt.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &recordpb.TasksSnapshot{Offset: m.offset, Term: m.term, Writers: m.filter.Marks()}
	for _, id := range m.sortedTaskIDs() {
		if t := m.tasks[id]; t.hasRecords && (t.live || !m.workDeleted(t)) {
			s.Tasks = append(s.Tasks, t.toProto())
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of tasks: %w", err)
	}
	return data, nil
}

// Restore replaces the stream state with that of a snapshot. The next batch to
// apply is the one after Offset. If the data is malformed, Restore returns an
// error and changes nothing.
func (m *Machine) Restore(data []byte) error {
	s := new(recordpb.TasksSnapshot)
	if err := proto.Unmarshal(data, s); err != nil {
		return fmt.Errorf("decode snapshot of tasks: %w", err)
	}
	tasks := make(map[string]*task, len(s.Tasks))
	for _, state := range s.Tasks {
		parsedID, err := ParseTaskID(state.Task)
		if err != nil {
			return fmt.Errorf("decode snapshot of tasks: %w", err)
		}
		tasks[state.Task] = &task{id: state.Task, parsedID: parsedID, streamState: streamStateFromProto(state)}
	}
	m.tasks, m.sortedIDs = tasks, nil
	m.offset, m.term = s.Offset, s.Term
	m.filter.Restore(s.Writers)
	for _, work := range m.declared {
		m.createHomeTasks(work)
	}
	m.prune()
	return nil
}

func (t *task) toProto() *recordpb.TaskState {
	return &recordpb.TaskState{
		Task:       t.id,
		Attempt:    t.attempt,
		Live:       t.live,
		Worker:     t.worker,
		Boot:       t.boot,
		Evicting:   t.evicting,
		To:         t.moveTo,
		Checkpoint: t.checkpoint,
		Failures:   t.failures,
		Outcome:    t.outcome,
		Message:    t.message,
		Move:       t.moveNumber,
		Moved:      t.moved,
		Delivered:  t.moveDelivered,
		PlacedTerm: t.placedTerm,
		Requests:   resourcesToProto(t.requests),
	}
}

func streamStateFromProto(s *recordpb.TaskState) streamState {
	return streamState{
		hasRecords:    true,
		attempt:       s.Attempt,
		live:          s.Live,
		worker:        s.Worker,
		boot:          s.Boot,
		placedTerm:    s.PlacedTerm,
		requests:      resourcesFromProto(s.Requests),
		evicting:      s.Evicting,
		moveTo:        s.To,
		checkpoint:    s.Checkpoint,
		failures:      s.Failures,
		outcome:       s.Outcome,
		message:       s.Message,
		moveNumber:    s.Move,
		moved:         s.Moved,
		moveDelivered: s.Delivered,
	}
}
