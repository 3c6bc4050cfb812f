package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/trace"
)

// machine is one source of a trace.
type machine interface {
	// step passes an event to the machine. The error says what is wrong with
	// the line.
	step(now time.Duration, event string, data json.RawMessage) ([]action, error)
	// state returns the part of the state that a pattern names. The error says
	// what is wrong with the pattern.
	state(now time.Duration, pattern object) (any, error)
	// dump returns the whole state, for the text of a difference.
	dump(now time.Duration) any
}

// newMachine returns the machine of a header line.
func newMachine(line *trace.Line) (machine, error) {
	switch line.Machine {
	case trace.Ownership:
		return newOwnership(line.Config)
	case trace.Tasks:
		return newTasks(line.Config)
	case trace.Freshness:
		return newFreshness(line.Config)
	case trace.Resources:
		return newResources(line.Config)
	case trace.Routing:
		return newRouting(line.Config)
	case trace.Dedup:
		return newDedup(line.Config)
	}
	return nil, fmt.Errorf("machine %q is not one of %v", line.Machine, trace.Kinds())
}

// decodeEvent decodes the event with a name into the type of its prototype.
func decodeEvent[E trace.Event](prototypes []E, name string, data json.RawMessage) (E, error) {
	for _, p := range prototypes {
		if p.Type() == name {
			return decodeAs(p, data)
		}
	}
	var none E
	return none, fmt.Errorf("the machine has no event %q", name)
}
