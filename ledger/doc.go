// Package ledger maintains the durable state of a cell's submissions.
//
// A cell has two streams in the log: its intake, to which any node appends the
// submissions and cancellations of callers, and its cell stream, to which only
// the owner of the current epoch appends. A Ledger is a deterministic function
// of the two streams, so all readers arrive at the same state. The package
// performs no I/O and reads no clock.
//
// Invariants:
//   - A run may be started only after its Placed record is in the log, so that
//     the next owner can find every run that may exist.
//   - The end of a run is acknowledged to its worker only after its Ended record
//     is in the log, so that a task that is done is never started again.
//
// A Ledger must be changed by one goroutine at a time. Its Index is safe for
// concurrent use.
package ledger

//go:generate protoc --proto_path=ledgerpb --go_out=ledgerpb --go_opt=paths=source_relative ledger.proto
