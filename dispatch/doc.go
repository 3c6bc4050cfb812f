// Package dispatch places the tasks of a cell on the cell's workers. It decides
// which runs start on which worker, which runs are stopped, and until when each
// worker holds its lease.
//
// The owner of a cell runs one Machine for each epoch. The machine reads the
// cell's ledger.Ledger, handles events (answers of workers, appended records, the
// list of workers) and returns actions. It performs no I/O and reads no clock:
// the time of the node's monotonic clock is passed to Step.
//
// Invariants:
//   - A run is started only after its Placed record is in the log.
//   - Run n+1 of a task is placed only when run n has ended, was refused, was
//     stopped before it began, belongs to a previous incarnation of its worker,
//     or its worker's lease has expired.
//   - A worker's acknowledged cursor passes the end of a run only after the Ended
//     record of that run is in the log.
package dispatch
