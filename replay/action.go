package replay

import "fmt"

// action is one output of a machine.
type action struct {
	// name is the action's type in traces.
	name string
	// content encodes to a JSON object.
	content any
}

// object returns the action's content as a JSON object with the action's name in
// the additional field "type".
func (a action) object() (object, error) {
	o, err := toObject(a.content)
	if err != nil {
		return nil, fmt.Errorf("action %s: %w", a.name, err)
	}
	o["type"] = a.name
	return o, nil
}
