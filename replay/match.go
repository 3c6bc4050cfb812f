package replay

import (
	"encoding/json"
	"strings"
)

// matches reports whether a value matches a pattern. An object may have more
// fields than the pattern; arrays must be equal in length. A zero scalar or an
// empty array in the pattern also matches an absent field, because encodings omit
// zero values. An object in the pattern, even an empty one, matches only an object:
// it can express which body a record has.
func matches(pattern, value any) bool {
	if value == nil {
		return isZero(pattern)
	}
	switch p := pattern.(type) {
	case object:
		return matchesObject(p, value)
	case map[string]any:
		return matchesObject(p, value)
	case []any:
		return matchesArray(p, value)
	case json.Number:
		n, ok := value.(json.Number)
		return ok && sameNumber(p, n)
	}
	return pattern == value
}

func matchesObject(pattern map[string]any, value any) bool {
	var fields map[string]any
	switch v := value.(type) {
	case object:
		fields = v
	case map[string]any:
		fields = v
	default:
		return false
	}
	for name, want := range pattern {
		if !matches(want, fields[name]) {
			return false
		}
	}
	return true
}

func matchesArray(pattern []any, value any) bool {
	list, ok := value.([]any)
	if !ok || len(list) != len(pattern) {
		return false
	}
	for i, want := range pattern {
		if !matches(want, list[i]) {
			return false
		}
	}
	return true
}

// sameNumber compares integers by their text, because float64 is not exact above
// 2^53.
func sameNumber(a, b json.Number) bool {
	if a == b {
		return true
	}
	if !strings.ContainsAny(string(a+b), ".eE") {
		return false
	}
	x, errA := a.Float64()
	y, errB := b.Float64()
	return errA == nil && errB == nil && x == y
}

func isZero(v any) bool {
	switch v := v.(type) {
	case nil:
		return true
	case string:
		return v == ""
	case bool:
		return !v
	case json.Number:
		f, err := v.Float64()
		return err == nil && f == 0
	case []any:
		return len(v) == 0
	}
	return false
}
