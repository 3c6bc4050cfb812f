package api

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
)

// checkTree compares a parsed document with the Go type that it is to be
// decoded into and returns every unknown field and every value of a wrong type.
func checkTree(t tree, typ reflect.Type, path string) Faults {
	switch typ.Kind() {
	case reflect.Pointer:
		return checkTree(t, typ.Elem(), path)
	case reflect.Struct:
		return checkObject(t, typ, path)
	case reflect.Slice:
		return checkList(t, typ, path)
	}
	if accepted := scalarMismatch(t, typ); accepted != "" {
		return Faults{{Field: path, Value: showTree(t), Accepted: accepted}}
	}
	return nil
}

func checkObject(t tree, typ reflect.Type, path string) Faults {
	fields, ok := t.(object)
	if !ok {
		return Faults{{Field: orDocument(path), Value: showTree(t), Accepted: "an object"}}
	}
	known := jsonFields(typ)
	var faults Faults
	for _, f := range fields {
		i := slices.IndexFunc(known, func(k jsonField) bool { return k.name == f.name })
		if i < 0 {
			faults = append(faults, Fault{Field: join(path, f.name), Value: "unknown", Accepted: "the fields " + fieldNames(known)})
			continue
		}
		faults = append(faults, checkTree(f.value, known[i].typ, join(path, f.name))...)
	}
	return faults
}

func checkList(t tree, typ reflect.Type, path string) Faults {
	items, ok := t.([]tree)
	if !ok {
		return Faults{{Field: path, Value: showTree(t), Accepted: "a list"}}
	}
	var faults Faults
	for i, item := range items {
		faults = append(faults, checkTree(item, typ.Elem(), index(path, i))...)
	}
	return faults
}

// scalarMismatch returns what typ accepts if t is not of that type, else "".
func scalarMismatch(t tree, typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		if _, ok := t.(string); !ok {
			return "a string"
		}
	case reflect.Bool:
		if _, ok := t.(bool); !ok {
			return "true or false"
		}
	case reflect.Int, reflect.Int64:
		n, ok := t.(json.Number)
		if !ok {
			return "a whole number"
		}
		if _, err := strconv.ParseInt(n.String(), 10, 64); err != nil {
			return "a whole number of at most 64 bits"
		}
	default:
		return fmt.Sprintf("no value (type %s is not covered)", typ)
	}
	return ""
}

func orDocument(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func showTree(t tree) string {
	switch v := t.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []tree:
		return "a list"
	default:
		return show(v)
	}
}
