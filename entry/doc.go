// Package entry implements the daemon of an entry VM. It connects the
// coordination packages, which make all decisions, to HTTP servers, timers, the
// platform's clients and the peers.
//
// Each state machine is owned by one goroutine: one for the claims of the data
// centre, and one for each owned cell. Other goroutines send it events and
// read immutable views through atomic pointers.
package entry
