package resources

import (
	"errors"
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// ErrGap is returned by Apply if the preceding record has not been applied.
var ErrGap = errors.New("records before this offset have not been applied")

// Store applies the records of the resources stream in the order of their
// offsets. Its offset never decreases.
type Store struct {
	limits   Limits
	outcomes *outcomeWindow
	view     atomic.Pointer[View]
}

// New returns an empty store at offset 0.
func New(limits Limits) *Store {
	s := &Store{limits: limits.withDefaults()}
	s.outcomes = newOutcomeWindow(s.limits.Outcomes)
	s.view.Store(&View{kinds: map[api.Kind]*table{}, superseded: make(chan struct{})})
	return s
}

// View returns the newest state. It is safe for concurrent use.
func (s *Store) View() *View {
	return s.view.Load()
}

// Outcome returns the outcome of the operation with this id if it is still
// retained. Unlike Duplicate it does not detect that the id was reused for
// another operation. It must not be called concurrently with Apply or Restore.
func (s *Store) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes.find(id)
	return o.Outcome, ok
}

// Apply applies the operations of the record at offset and returns an outcome
// for each. For a record without operations, such as a snapshot, ops is empty.
// A record at or below the store's offset changes nothing and has no outcomes.
// If offset is not the next one, Apply returns ErrGap and changes nothing.
//
// All operations of one record get the same version. Therefore a second
// change of the same resource in one record is rejected with result.Conflict:
// a version precondition could not distinguish the two states.
func (s *Store) Apply(offset int64, ops ...Operation) ([]Outcome, error) {
	old := s.View()
	if offset <= old.offset {
		return nil, nil
	}
	if offset != old.offset+1 {
		return nil, fmt.Errorf("record %d after %d: %w", offset, old.offset, ErrGap)
	}
	next := &View{
		offset:             offset,
		kinds:              old.kinds,
		events:             old.events,
		oldestWatchVersion: old.oldestWatchVersion,
		superseded:         make(chan struct{}),
	}
	outcomes := make([]Outcome, 0, len(ops))
	for _, op := range ops {
		outcomes = append(outcomes, s.applyOnce(next, op))
	}
	s.trimEvents(next)
	s.publish(old, next)
	return outcomes, nil
}

func (s *Store) publish(old, next *View) {
	s.view.Store(next)
	close(old.superseded)
}

// Duplicate reports whether the outcome of an operation with the id of op is
// retained, and returns the outcome that op would get: the retained one if both
// are the same operation, otherwise a rejection. It allows a response to the
// operator before op is appended. It must not be called concurrently with Apply
// or Restore.
func (s *Store) Duplicate(op Operation) (Outcome, bool) {
	retained, ok := s.outcomes.find(op.ID)
	if !ok {
		return Outcome{}, false
	}
	return duplicateOutcome(retained, op.fingerprint()), true
}

// applyOnce applies an operation unless it is a duplicate.
func (s *Store) applyOnce(v *View, op Operation) Outcome {
	if outcome, ok := s.Duplicate(op); ok {
		return outcome
	}
	outcome := applyOperation(v, op)
	if op.ID != "" {
		s.outcomes.add(retainedOutcome{Outcome: outcome, Fingerprint: op.fingerprint()})
	}
	return outcome
}

// duplicateOutcome returns the retained outcome, or a rejection if the
// fingerprint shows that the id was used for another operation.
func duplicateOutcome(retained retainedOutcome, fingerprint uint64) Outcome {
	outcome := retained.Outcome
	outcome.Duplicate = true
	if retained.Fingerprint != fingerprint {
		outcome.Code = result.BadResource
		outcome.Message = fmt.Sprintf("operation id %q was used for another operation, which was decided at offset %d with %s", retained.ID, retained.Offset, retained.Code)
	}
	return outcome
}

// trimEvents drops the oldest events above the limit.
func (s *Store) trimEvents(v *View) {
	excess := len(v.events) - s.limits.Events
	if excess <= 0 {
		return
	}
	v.oldestWatchVersion = v.events[excess-1].Version
	v.events = v.events[excess:]
}

// set stores r under name in a view under construction. A nil r removes the
// resource.
func (v *View) set(kind api.Kind, name string, r *api.Resource) {
	v.kinds = maps.Clone(v.kinds)
	v.kinds[kind] = v.kinds[kind].with(name, r)
}
