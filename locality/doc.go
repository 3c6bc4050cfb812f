// Package locality decides whether a task waits for room on the rack of its data.
//
// It answers the load of many submissions whose data lie on few racks: away from its
// data a task takes several times as long, and on a rack that is full it waits. A
// Forecast says when a rack has room, from the runs there and the tasks that wait
// before; Decide weighs that wait against the longer run.
//
// The package performs no I/O and reads no clock.
package locality
