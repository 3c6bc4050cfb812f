package replay

import (
	"reflect"
	"slices"
	"strings"
)

// unknownField returns a field of a pattern that the encoding of v never has,
// or "". A misspelt field with a zero value would match any state.
func unknownField(pattern, encoded object, v any) string {
	known := fieldNames(reflect.TypeOf(v))
	for name := range pattern {
		if !encoded.has(name) && !slices.Contains(known, name) {
			return name
		}
	}
	return ""
}

// fieldNames returns the names in the JSON form of a struct type.
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
