// Package entry is the daemon of an entry VM. It adds HTTP servers, timers,
// the platform's clients and the peers around the coordination packages, which
// make all decisions.
//
// Each state machine has one goroutine that owns it: one for the claims of the
// data centre, one for each owned cell. Other goroutines send it events and
// read immutable views through atomic pointers.
package entry
