package settings

import "fmt"

// Mistake is one validation error of a settings file.
type Mistake struct {
	File string
	// Section is empty if the file cannot be parsed.
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
	location := m.File
	if m.Section != "" {
		location += ": [" + m.Section + "]"
	}
	if m.Key != "" {
		location += " " + m.Key
	}
	return fmt.Sprintf("%s: %s; accepted: %s", location, m.Problem, m.Accepted)
}
