package api

import (
	"fmt"
	"strings"
)

// maxFaultsShown bounds the number of faults in an error message.
const maxFaultsShown = 100

// Faults is the error that lists all faults of a document or file.
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

// asError returns nil if there are no faults; an error that holds a nil Faults
// would not be nil.
func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// covers reports whether a fault concerns field or a field that contains it.
func (f Faults) covers(field string) bool {
	for _, fault := range f {
		if fault.Field == field || strings.HasPrefix(field, fault.Field+".") || strings.HasPrefix(field, fault.Field+"[") {
			return true
		}
	}
	return false
}
