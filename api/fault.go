package api

import (
	"fmt"
	"strings"
)

// maxFaultsShown bounds the length of an error message.
const maxFaultsShown = 100

// maxValueShown bounds the bytes of a value in an error message.
const maxValueShown = 64

// Fault is one mistake in a document.
type Fault struct {
	// Document counts the documents of a file from 1; 0 if there is only one.
	Document int
	// Field is the path of the field, for example "service.replicas".
	Field string
	// Value is the value found, or "" if the field is missing.
	Value string
	// Accepted says what the field accepts.
	Accepted string
}

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Document > 0 {
		fmt.Fprintf(&b, "document %d: ", f.Document)
	}
	b.WriteString(f.Field)
	if f.Value == "" {
		b.WriteString(" is missing")
	} else {
		fmt.Fprintf(&b, " is %s", f.Value)
	}
	fmt.Fprintf(&b, "; accepted: %s", f.Accepted)
	return b.String()
}

// Faults is the error that lists all mistakes of a document or file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, min(len(f), maxFaultsShown+1))
	for i, fault := range f {
		if i == maxFaultsShown {
			lines = append(lines, fmt.Sprintf("and %d more faults", len(f)-i))
			break
		}
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// err returns nil for no faults; a nil Faults in an error would not be nil.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// covers reports whether a fault names field or a field that contains it.
func (f Faults) covers(field string) bool {
	for _, fault := range f {
		if fault.Field == field || strings.HasPrefix(field, fault.Field+".") || strings.HasPrefix(field, fault.Field+"[") {
			return true
		}
	}
	return false
}

// show returns a value for a message: quoted if it is a string, and cut.
func show(value any) string {
	var s string
	switch v := value.(type) {
	case string:
		s = fmt.Sprintf("%q", v)
	default:
		s = fmt.Sprint(v)
	}
	if len(s) > maxValueShown {
		return strings.ToValidUTF8(s[:maxValueShown], "") + "..."
	}
	return s
}
