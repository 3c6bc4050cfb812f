package scheduler

import (
	"errors"
	"fmt"
)

// ErrStale is wrapped by the errors for plans that are no longer valid.
var ErrStale = errors.New("plan is stale")

// Validator checks the parts of a plan against the current state, which can be
// newer than the snapshot that the plan was made from.
type Validator interface {
	// CheckPlacement returns an error that wraps ErrStale if the placement is no
	// longer valid.
	CheckPlacement(current *Snapshot, p Placement) error
	// CheckAction returns an error that wraps ErrStale if the action is no longer
	// valid.
	CheckAction(current *Snapshot, a Action) error
}

// SnapshotValidator is the Validator that checks a plan against a snapshot only.
type SnapshotValidator struct{}

// CheckPlacement rejects a placement in a data centre that takes no new work, on a
// worker that is gone, restarted or short of capacity, and of a task that already
// has an attempt.
func (SnapshotValidator) CheckPlacement(current *Snapshot, p Placement) error {
	if phase := current.dataCentre.Phase; phase == Draining || phase == OutOfService {
		return fmt.Errorf("%w: data centre %s takes no new work", ErrStale, current.cell.DataCentre)
	}
	w := current.Worker(p.Worker)
	if w == nil || w.Boot != p.Boot {
		return fmt.Errorf("%w: worker %s is gone or has restarted", ErrStale, p.Worker)
	}
	if !p.Requests.Fits(w.Free()) || w.Unreachable || w.Leaving {
		return fmt.Errorf("%w: worker %s has no free capacity for task %s", ErrStale, p.Worker, p.Task)
	}
	for i := range current.size {
		attempts := current.At(i).Attempts
		for j := range attempts {
			if id := attempts[j].ID; id.Task == p.Task {
				return fmt.Errorf("%w: attempt %d of task %s already exists", ErrStale, id.Attempt, p.Task)
			}
		}
	}
	return nil
}

// CheckAction rejects an action on an attempt that is gone or is being stopped.
func (SnapshotValidator) CheckAction(current *Snapshot, a Action) error {
	w := current.Worker(a.Worker)
	if w == nil || w.Boot != a.Boot {
		return fmt.Errorf("%w: worker %s is gone or has restarted", ErrStale, a.Worker)
	}
	attempt := w.findAttempt(a.ID)
	if attempt == nil {
		return fmt.Errorf("%w: worker %s doesn't run attempt %d of task %s", ErrStale, a.Worker, a.ID.Attempt, a.ID.Task)
	}
	if attempt.Stopping {
		return fmt.Errorf("%w: attempt %d of task %s is being stopped", ErrStale, a.ID.Attempt, a.ID.Task)
	}
	return nil
}
