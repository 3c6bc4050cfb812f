package resources

import (
	"errors"
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// ErrGap is returned when a record is applied whose predecessor is missing.
var ErrGap = errors.New("records before this offset have not been applied")

// Store applies the records of the resources stream in the order of their
// offsets. Its state moves only to higher offsets.
type Store struct {
	limits   Limits
	outcomes *outcomeWindow
	view     atomic.Pointer[View]
}

// New returns an empty store at offset 0.
func New(limits Limits) *Store {
	s := &Store{limits: limits.withDefaults()}
	s.outcomes = newOutcomeWindow(s.limits.Outcomes)
	s.view.Store(&View{kinds: map[api.Kind]*table{}, next: make(chan struct{})})
	return s
}

// View returns the newest state. It may be called at any time by any goroutine.
func (s *Store) View() *View {
	return s.view.Load()
}

// Outcome returns the outcome of the operation with this id if it is still
// kept. It does not tell whether another operation has the same id; Duplicate
// does. Calls must not be concurrent with Apply or Restore.
func (s *Store) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes.find(id)
	return o.Outcome, ok
}

// Apply applies the operations of the record at offset and returns an outcome
// for each. Records that hold no operations (snapshots) are applied with none.
// A record at or below the store's offset changes nothing and has no outcomes.
// A record that is not the next one gives ErrGap and changes nothing.
//
// All operations of one record get the same version. Therefore a second
// operation of a record on the same resource is refused with result.Conflict:
// a precondition could not tell the two states apart.
func (s *Store) Apply(offset int64, ops ...Operation) ([]Outcome, error) {
	old := s.View()
	if offset <= old.offset {
		return nil, nil
	}
	if offset != old.offset+1 {
		return nil, fmt.Errorf("record %d after %d: %w", offset, old.offset, ErrGap)
	}
	next := &View{
		offset: offset,
		kinds:  old.kinds,
		events: old.events,
		base:   old.base,
		next:   make(chan struct{}),
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
	close(old.next)
}

// Duplicate returns the outcome that op would get as a duplicate, and whether
// it is one: the outcome of the first operation with its id if the two are the
// same, else a refusal. Unlike Outcome it can answer an operator before the
// operation is appended. Calls must not be concurrent with Apply or Restore.
func (s *Store) Duplicate(op Operation) (Outcome, bool) {
	kept, ok := s.outcomes.find(op.ID)
	if !ok {
		return Outcome{}, false
	}
	return duplicateOutcome(kept, op.fingerprint()), true
}

// applyOnce applies an operation unless its id is known.
func (s *Store) applyOnce(v *View, op Operation) Outcome {
	if outcome, ok := s.Duplicate(op); ok {
		return outcome
	}
	outcome := decide(v, op)
	if op.ID != "" {
		s.outcomes.add(keptOutcome{Outcome: outcome, Fingerprint: op.fingerprint()})
	}
	return outcome
}

// duplicateOutcome returns the kept outcome, or a refusal if the id was used
// for another operation.
func duplicateOutcome(kept keptOutcome, fingerprint uint64) Outcome {
	outcome := kept.Outcome
	outcome.Duplicate = true
	if kept.Fingerprint != fingerprint {
		outcome.Code = result.BadResource
		outcome.Message = fmt.Sprintf("operation id %q was used for another operation, which was decided at offset %d with %s", kept.ID, kept.Offset, kept.Code)
	}
	return outcome
}

// trimEvents drops the oldest events above the limit.
func (s *Store) trimEvents(v *View) {
	excess := len(v.events) - s.limits.Events
	if excess <= 0 {
		return
	}
	v.base = v.events[excess-1].Version
	v.events = v.events[excess:]
}

// set gives name the value r in the view under construction; nil removes it.
func (v *View) set(kind api.Kind, name string, r *api.Resource) {
	v.kinds = maps.Clone(v.kinds)
	v.kinds[kind] = v.kinds[kind].with(name, r)
}
