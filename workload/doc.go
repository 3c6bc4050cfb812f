// Package workload defines what callers submit to queues and what runs it:
// submissions of steps and tasks, queues, services and workers.
//
// The types are plain values without I/O. Adapters build them from the words of
// a platform; packages ledger and dispatch decide with them.
package workload
