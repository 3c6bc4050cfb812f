// Package standin is a stand-in for the platform, for development and tests
// only. It provides the log, the VM list, the worker agents with simulated
// tasks, and the backend server of each worker. Faults are injected over HTTP.
//
// The simulated state is kept in types that take the time as an argument
// (Worker, LogStore, VMTable), so that tests can use virtual time. Platform
// adds the real clock and the listeners. History records what the workers and
// backend servers actually did, so that a checker can verify it independently.
//
// The stand-in refuses only what the interfaces of package hostapi specify. For
// example, two workers that receive start commands for the same task both run it.
package standin
