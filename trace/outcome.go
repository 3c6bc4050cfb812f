package trace

import "encoding/json"

// Outcome is what is expected of one machine at one time. Each pattern is a JSON
// object: it matches an object that has all of its fields with equal values, and
// possibly others. Arrays must be equal in length.
type Outcome struct {
	// State lists patterns of the machine's state. A pattern holds the fields that
	// select a part of the state (for example "cell" or "task") and the expected
	// fields of that part.
	State []json.RawMessage `json:"state,omitempty"`
	// Emitted lists patterns of actions. Each must match an action since the
	// machine's last outcome line, in this order.
	Emitted []json.RawMessage `json:"emitted,omitempty"`
	// NotEmitted lists patterns that no action since the machine's last outcome
	// line matches.
	NotEmitted []json.RawMessage `json:"notEmitted,omitempty"`
}

// empty reports whether the outcome lists no pattern.
func (o *Outcome) empty() bool {
	return len(o.State)+len(o.Emitted)+len(o.NotEmitted) == 0
}
