package manifestcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says whether a finding keeps the manifest from being sent.
type Severity string

// Severities.
const (
	// Error: the manifest would be refused, or requests that it is meant to allow would fail.
	Error Severity = "error"
	// Warning: an entry has no effect, or not the one that it seems to have.
	Warning Severity = "warning"
)

// Position is a place in a document, counted from 1; the zero value stands for none.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding is a mistake.
type Finding struct {
	Severity Severity `json:"severity"`
	Position
	// Entry names the entry, such as queue "orders".
	Entry   string `json:"entry"`
	Problem string `json:"problem"`
}

// String returns the finding as a line without the name of the file.
func (f Finding) String() string {
	return fmt.Sprintf("%d:%d: %s: %s: %s", f.Line, f.Column, f.Severity, f.Entry, f.Problem)
}

// Sort orders findings by their place.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}
