// Package tasks decides what happens to the tasks of one cell.
//
// The owner of a cell runs one Machine for it. The machine's stream state is
// a function of the cell's task stream and the declared work alone, so a
// successor that reads the same stream has the same state. Everything else it
// keeps (answers of workers, records in flight) is local to one term.
//
// Invariants:
//   - Attempt n+1 of a task is placed only after Ended of attempt n, and Ended is
//     recorded only when attempt n can't run any more (I2).
//   - What is reserved on a worker never exceeds its capacity (I1).
//   - Every attempt resumes from the newest recorded checkpoint (I3).
//   - No start is sent after the end of placing authority or while the data
//     centre is taken out, and none takes effect after it (I4).
package tasks
