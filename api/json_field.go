package api

import (
	"reflect"
	"strings"
)

// jsonField is a field of a Go struct under its name in JSON.
type jsonField struct {
	name string
	typ  reflect.Type
}

// jsonFields lists the fields of a struct, those of embedded structs included.
func jsonFields(typ reflect.Type) []jsonField {
	var fields []jsonField
	for _, f := range reflect.VisibleFields(typ) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || name == "" || name == "-" {
			continue
		}
		fields = append(fields, jsonField{name, f.Type})
	}
	return fields
}

func fieldNames(fields []jsonField) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
