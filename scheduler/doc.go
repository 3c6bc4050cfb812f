// Package scheduler is the placement policy of one cell: it places pending
// tasks on workers and decides on throttling, moving and evicting running ones.
//
// The package is pure. It performs no I/O, reads no clock and starts no
// goroutine; the time is passed in as the owner's monotonic clock and
// randomness as a seeded source. A Policy is used by one goroutine at a time.
//
// A round reads one immutable Snapshot. Place returns placements, reasons for
// waiting and the evictions that make room; Act returns actions on running
// attempts. A Planner checks each of them against the state of the moment and
// rejects stale ones. The sum of the requests assigned to a worker never
// exceeds its capacity in any dimension.
package scheduler
