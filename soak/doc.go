// Package soak plays the coordinators as real processes on one machine, breaks
// things around them and judges what callers and workers saw.
//
// The processes are built from the tree and started on loopback with a stand-in
// of the platform in the test process. Between each coordinator and the store,
// and before each worker, stands a proxy that delays, resets, silences or cuts
// one way. Processes are killed, paused, stopped and started by signals. Only
// processes that the soak started are ended, by their ids.
//
// `go test ./soak` plays the regression seeds and one short seed;
// `go test ./soak -soak.seeds=50 -soak.first=1000` plays more.
package soak
