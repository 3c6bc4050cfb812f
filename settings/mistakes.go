package settings

import "strings"

// Mistakes is the error that lists all mistakes of a file.
type Mistakes []Mistake

// Error returns the mistakes, one per line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}
