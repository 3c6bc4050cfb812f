// Package ledger is the durable state of a cell's submissions.
//
// A cell has two streams on the log: its intake, to which any node appends what
// callers submit and cancel, and its cell stream, to which only the owner of
// the present epoch appends. A Book is a function of the two streams, so every
// reader reaches the same state. The package performs no I/O and reads no clock.
//
// Invariants:
//   - A run may be started only after its Placed record is on the log, so a
//     successor knows every run that may exist.
//   - An end is acknowledged to a worker only after its Ended record is on the
//     log, so a task that is done is never started again.
//
// One goroutine at a time changes a Book. Index can be read by any number.
package ledger

//go:generate protoc --proto_path=ledgerpb --go_out=ledgerpb --go_opt=paths=source_relative ledger.proto
