// Package standin is a development-only stand-in for the platform: the log, the
// VM list, the worker agents with simulated tasks, and the backend server of
// each worker. Faults are switched on over HTTP.
//
// The simulated state is in plain types that take the time as an argument
// (Worker, LogStore, VMTable), so that tests can use virtual time. Platform
// adds the real clock and the listeners. History is what the workers and
// backend servers really did, for an independent check.
//
// The stand-in refuses what the interfaces of package hostapi say that it
// refuses, and nothing else: two workers told to run the same task both do.
package standin
