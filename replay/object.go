package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// object is a decoded JSON object. Its numbers are of type json.Number, because
// incarnations exceed the precision of float64.
type object map[string]any

// errNotObject means that a JSON document is not an object.
var errNotObject = errors.New("not a JSON object")

// parseObject decodes a JSON object.
func parseObject(data []byte) (object, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var o object
	if err := d.Decode(&o); err != nil {
		return nil, err
	}
	if o == nil {
		return nil, errNotObject
	}
	return o, nil
}

// toObject returns the JSON object that a value encodes to.
func toObject(v any) (object, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return parseObject(data)
}

// stringField returns the string in a field, and whether the field holds one.
func (o object) stringField(field string) (string, bool) {
	s, ok := o[field].(string)
	return s, ok
}

// intField returns the integer in a field.
func (o object) intField(field string) (int, error) {
	n, ok := o[field].(json.Number)
	if !ok {
		return 0, fmt.Errorf("%q is not a number", field)
	}
	i, err := n.Int64()
	if err != nil {
		return 0, fmt.Errorf("%q: %w", field, err)
	}
	return int(i), nil
}

// has reports whether a field is present.
func (o object) has(field string) bool {
	_, ok := o[field]
	return ok
}
