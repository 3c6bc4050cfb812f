// Package ownership decides which entry VM of a data centre owns which cell.
//
// Each entry VM runs one Machine. It applies the records of its data centre's
// claims stream in offset order and decides when to renew, claim, release,
// rescue and acknowledge. The package is deterministic and does no I/O: time is
// the node's monotonic clock passed to Step, and the only random input is the
// incarnation.
//
// Invariants:
//   - Two machines never hold the same cell at the same time: an owner's lease
//     ends Lease after the time just before its last renewal was sent, and no VM
//     claims by expiry earlier than Lease plus the drift bound after it read that
//     renewal.
//   - The owners of a cell, with their previous owners in state reduced, together
//     use at most SlotsPerWorker slots of each worker.
package ownership
