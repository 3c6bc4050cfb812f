package replay

import "fmt"

// action is one output of a machine: its type and its content, which encodes
// to a JSON object.
type action struct {
	name    string
	content any
}

// object returns the action's content with the action's type in the field
// "type".
func (a action) object() (object, error) {
	o, err := toObject(a.content)
	if err != nil {
		return nil, fmt.Errorf("action %s: %w", a.name, err)
	}
	o["type"] = a.name
	return o, nil
}
