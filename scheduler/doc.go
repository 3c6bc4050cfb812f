// Package scheduler is the placement policy of one cell: it places pending
// tasks on workers and decides on throttling, moving and evicting running ones.
//
// The package is deterministic. It performs no I/O, reads no clock and starts no
// goroutine; the time is passed in as the owner's monotonic clock and
// randomness as a seeded source. A Policy is used by one goroutine at a time.
//
// A round reads one immutable Snapshot. Place returns placements, reasons for
// waiting and the evictions that free capacity; Act returns actions on running
// attempts. A Validator checks each of them against the current state and
// rejects stale ones. The sum of the requests assigned to a worker never
// exceeds its capacity in any dimension.
package scheduler
