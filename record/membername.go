package record

import "fmt"

// MemberName returns the name that the synced set of a renewal has for a process of an entry
// VM: "<vm>#<incarnation, 16 hex digits>".
func MemberName(vm string, incarnation uint64) string {
	return fmt.Sprintf("%s#%016x", vm, incarnation)
}
