// Package dedup implements the request table, which ensures that a
// non-idempotent request runs at most once.
//
// Each request id belongs to one cell. The cell's owner is the id's home: it
// alone decides whether the request runs, and it replicates its table to peers.
// Before a request runs, every VM that could take the cell over with a full
// copy of the table must have acknowledged the home's intent to run it. A
// successor without a full copy answers "outcome unknown" for each id that it
// can't prove to be new.
//
// The package performs no I/O and reads no clock: times are passed in and are
// on this VM's monotonic clock. Its types may be used concurrently.
package dedup
