// Package resources holds the operators' resources as the log's resources
// stream defines them.
//
// The state is a function of the operations and their offsets alone, so every
// reader of the stream reaches the same state and the same outcome for each
// operation. The package performs no I/O, reads no clock and starts no
// goroutine. One goroutine at a time may change a Store; a View can be read by
// any number of them.
//
// The decoding of operations is lenient and applies no range checks: the VM
// that accepts an operation validates it with package api before it appends
// it. Readers of different program versions would otherwise disagree about
// the outcome of one record.
package resources
