package replay

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/cactusreel/cactusreel/trace"
)

// decodeAs decodes data into a new value of the prototype's type.
func decodeAs[E trace.Event](prototype E, data json.RawMessage) (E, error) {
	v := reflect.New(reflect.TypeOf(prototype))
	if err := trace.DecodeStrict(data, v.Interface()); err != nil {
		var zero E
		return zero, fmt.Errorf("event %s: %w", prototype.Type(), err)
	}
	return v.Elem().Interface().(E), nil
}

// toActions converts the actions of a machine, named by their Type.
func toActions[A trace.Event](list []A) []action {
	actions := make([]action, 0, len(list))
	for _, a := range list {
		actions = append(actions, action{name: a.Type(), content: a})
	}
	return actions
}
