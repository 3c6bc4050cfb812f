// Package dedup keeps the request table that lets a non-idempotent request run
// at most once.
//
// Each request id belongs to one cell; the cell's owner is the id's home and
// alone decides whether the request runs. Before it runs, every VM that could
// take the cell over with a full copy of the table must have acknowledged the
// intent. A successor without a full copy answers "outcome unknown" to each id
// that it can't prove to be new.
//
// The package performs no I/O and reads no clock: times are passed in and are
// on this VM's monotonic clock. Its types may be used concurrently.
package dedup
