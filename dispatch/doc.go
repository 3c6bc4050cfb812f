// Package dispatch decides what the owner of a cell tells the cell's workers:
// which runs start where, which stop, which are slowed down, and how long each
// worker's lease lasts.
//
// The owner of a cell runs one Machine for each epoch. The machine reads the
// cell's ledger.Book, takes events (answers of workers, appended records, the
// list of workers) and returns actions. It performs no I/O and reads no clock:
// the time of the node's steady clock is passed to Step.
//
// Invariants:
//   - A run is started only after its Placed record is on the log.
//   - Run n+1 of a task is placed only when run n has ended, was refused, was
//     stopped before it began, belongs to an ended life of its worker, or its
//     worker's lease has lapsed.
//   - A worker's cursor passes an end only after its Ended record is on the log.
package dispatch
