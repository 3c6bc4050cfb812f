package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/trace"
)

// machine is the decision code of one source of a trace.
type machine interface {
	// step passes an event to the machine and returns the resulting actions. An
	// error means that the line is malformed.
	step(now time.Duration, event string, data json.RawMessage) ([]action, error)
	// state returns the part of the state that a pattern selects. An error means
	// that the pattern is malformed.
	state(now time.Duration, pattern object) (any, error)
	// dump returns the whole state, for the text of a mismatch.
	dump(now time.Duration) any
}

// newMachine returns the machine that a header line declares.
func newMachine(line *trace.Line) (machine, error) {
	switch line.Machine {
	case trace.Ownership:
		return newOwnershipMachine(line.Config)
	case trace.Tasks:
		return newTasksMachine(line.Config)
	case trace.Freshness:
		return newFreshnessMachine(line.Config)
	case trace.Resources:
		return newResourcesMachine(line.Config)
	case trace.Routing:
		return newRoutingMachine(line.Config)
	case trace.Dedup:
		return newDedupMachine(line.Config)
	}
	return nil, fmt.Errorf("machine %q is not one of %v", line.Machine, trace.Kinds())
}

// decodeEvent decodes data into the type of the prototype with this event name.
func decodeEvent[E trace.Event](prototypes []E, name string, data json.RawMessage) (E, error) {
	for _, p := range prototypes {
		if p.Type() == name {
			return decodeAs(p, data)
		}
	}
	var zero E
	return zero, fmt.Errorf("the machine has no event %q", name)
}
