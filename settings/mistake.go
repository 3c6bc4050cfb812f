package settings

import "fmt"

// Mistake is one fault of a settings file.
type Mistake struct {
	File string
	// Section is empty for a line that can't be read at all.
	Section string
	// Key is empty if the section itself is wrong.
	Key string
	// Problem says what is wrong.
	Problem string
	// Accepted says what is accepted instead.
	Accepted string
}

// String returns the mistake as one line.
func (m Mistake) String() string {
	place := m.File
	if m.Section != "" {
		place += ": [" + m.Section + "]"
	}
	if m.Key != "" {
		place += " " + m.Key
	}
	return fmt.Sprintf("%s: %s; accepted: %s", place, m.Problem, m.Accepted)
}
