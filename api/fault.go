package api

import (
	"fmt"
	"strings"
)

// maxValueShown bounds the bytes of a value in an error message.
const maxValueShown = 64

// Fault is one validation error of a document.
type Fault struct {
	// Document is the position of the document in its file, from 1, or 0 if a
	// single document was parsed.
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

// formatValue returns a value for a message. It quotes strings and truncates long
// values.
func formatValue(value any) string {
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
