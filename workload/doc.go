// Package workload defines the submissions that callers hand to queues, with
// their steps and tasks, and the workers that run them.
//
// The types are plain values and perform no I/O. Adapters convert them from the
// wire formats of a platform; packages ledger and dispatch work on them.
package workload
