package api

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
)

// checkType compares a parsed JSON value with the Go type that it is to be decoded
// into. It returns a fault for every unknown field and every value of a wrong
// type.
func checkType(value jsonValue, typ reflect.Type, path string) Faults {
	switch typ.Kind() {
	case reflect.Pointer:
		return checkType(value, typ.Elem(), path)
	case reflect.Struct:
		return checkObject(value, typ, path)
	case reflect.Slice:
		return checkList(value, typ, path)
	}
	if accepted := scalarMismatch(value, typ); accepted != "" {
		return Faults{{Field: path, Value: describeValue(value), Accepted: accepted}}
	}
	return nil
}

func checkObject(value jsonValue, typ reflect.Type, path string) Faults {
	members, ok := value.(jsonObject)
	if !ok {
		return Faults{{Field: pathOrDocument(path), Value: describeValue(value), Accepted: "an object"}}
	}
	knownFields := structFields(typ)
	var faults Faults
	for _, m := range members {
		i := slices.IndexFunc(knownFields, func(f structField) bool { return f.name == m.name })
		if i < 0 {
			faults = append(faults, Fault{Field: joinPath(path, m.name), Value: "unknown", Accepted: "the fields " + fieldNames(knownFields)})
			continue
		}
		faults = append(faults, checkType(m.value, knownFields[i].typ, joinPath(path, m.name))...)
	}
	return faults
}

func checkList(value jsonValue, typ reflect.Type, path string) Faults {
	items, ok := value.([]jsonValue)
	if !ok {
		return Faults{{Field: path, Value: describeValue(value), Accepted: "a list"}}
	}
	var faults Faults
	for i, item := range items {
		faults = append(faults, checkType(item, typ.Elem(), indexPath(path, i))...)
	}
	return faults
}

// scalarMismatch describes what typ accepts if value is not of that type. It
// returns "" if it is.
func scalarMismatch(value jsonValue, typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			return "a string"
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			return "true or false"
		}
	case reflect.Int, reflect.Int64:
		n, ok := value.(json.Number)
		if !ok {
			return "a whole number"
		}
		if _, err := strconv.ParseInt(n.String(), 10, 64); err != nil {
			return "a whole number of at most 64 bits"
		}
	default:
		return fmt.Sprintf("no value (type %s is not supported)", typ)
	}
	return ""
}

func pathOrDocument(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func describeValue(value jsonValue) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case jsonObject:
		return "an object"
	case []jsonValue:
		return "a list"
	default:
		return formatValue(v)
	}
}
