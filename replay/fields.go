package replay

import (
	"reflect"
	"slices"
	"strings"
)

// unknownField returns a field of a pattern that neither the encoded value nor the
// type of v has, or "". Without this check a misspelt field with a zero value would
// match any state.
func unknownField(pattern, encoded object, v any) string {
	known := fieldNames(reflect.TypeOf(v))
	for name := range pattern {
		if !encoded.has(name) && !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// fieldNames returns the JSON field names of a struct type, those of embedded
// structs included.
func fieldNames(t reflect.Type) []string {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			names = append(names, fieldNames(f.Type)...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		names = append(names, name)
	}
	return names
}
