// Package resources implements a deterministic state machine that derives the
// operators' resources from the resources stream of the platform log.
//
// The state depends only on the operations and their offsets, so every reader
// of the stream reaches the same state and the same outcome for each
// operation. The package performs no I/O, reads no clock and starts no
// goroutine. Only one goroutine at a time may change a Store; a View can be
// read by any number of goroutines.
//
// Operations are decoded leniently and without range checks: the VM that
// accepts an operation validates it with package api before it appends it.
// Validation by readers would let readers of different program versions
// disagree about the outcome of one record.
package resources
