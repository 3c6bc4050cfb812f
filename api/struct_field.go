package api

import (
	"reflect"
	"strings"
)

// structField is a field of a Go struct with its name in JSON.
type structField struct {
	name string
	typ  reflect.Type
}

// structFields lists the JSON fields of a struct, including those of embedded
// structs.
func structFields(typ reflect.Type) []structField {
	var fields []structField
	for _, f := range reflect.VisibleFields(typ) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || name == "" || name == "-" {
			continue
		}
		fields = append(fields, structField{name, f.Type})
	}
	return fields
}

func fieldNames(fields []structField) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
