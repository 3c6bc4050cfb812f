// Package soak runs coordinators as real processes on one machine, injects faults
// and checks what callers and workers observed.
//
// The processes are built from the source tree and run on loopback with a
// stand-in platform in the test process. A proxy between each coordinator and the
// store, and in front of each worker, resets connections or blocks one or both
// directions. Processes are killed, paused, stopped and started by signals. Workers
// crash, stay away for longer than their leases, or drain and leave. The
// test signals only processes that it has started, by their ids.
//
// `go test ./soak` runs the regression seeds and one short seed each of two profiles: "faults",
// and "dealings", in which the group gives the only cell to any of seven coordinators again and
// again. `go test ./soak -soak.seeds=50 -soak.first=1000 -soak.profile=dealings` runs more seeds.
// In the profile "crowd" all of 24 coordinators are restarted three times at the beginning, without
// a wait until they are ready; in "upgrade" half of them run the program -soak.other at first. A
// failed seed prints the violations of each kind with the epochs, and the coordinators that
// commanded the starts.
package soak
