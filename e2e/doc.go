// Package e2e holds tests that run the daemon as real processes against the
// stand-in platform on loopback, break things, and judge what workers, backend
// servers and callers saw with package checker.
//
// The tests wait for states, never for fixed times, and assert no durations
// other than the bounds of docs/design.md, which the checker holds.
package e2e
