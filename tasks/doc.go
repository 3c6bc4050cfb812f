// Package tasks implements the state machine that controls the tasks of one
// cell: their placement, leases, checkpoints, evictions and moves.
//
// The owner of a cell runs one Machine for it. The stream state of the machine
// is a function of the cell's task stream and the declared work alone, so a
// successor that reads the same stream reaches the same state. All other state
// (answers of workers, records in flight) is local to one term.
//
// Invariants:
//   - Attempt n+1 of a task is placed only after the Ended record of attempt n,
//     which is written only when attempt n can no longer run (I2).
//   - The resources reserved on a worker never exceed its capacity (I1).
//   - Every attempt resumes from the newest recorded checkpoint (I3).
//   - No start is sent, and none takes effect, after the authority to place tasks
//     has ended or while the data centre is taken out (I4).
package tasks
