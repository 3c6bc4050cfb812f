// Package e2e holds tests that run the daemon as real processes against the
// stand-in platform on loopback, inject faults, and check with package checker
// what workers, backend servers and callers observed.
//
// The tests wait for states, not for fixed times, and assert no durations other
// than the bounds of docs/design.md, which package checker contains.
package e2e
