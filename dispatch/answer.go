package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// StartResult is a worker's response to a start.
type StartResult struct {
	Answer Answer
	// Clock is the reading of the worker's clock, or 0 if the response had none.
	Clock time.Duration
	// Found is the incarnation that answered in place of the one that was meant (WrongWorker),
	// if it is known.
	Found workload.Incarnation
}

// Answer is a worker's response to a command.
type Answer int

// Answers to a command.
const (
	// Done: the command was carried out, now or by an earlier copy of it.
	Done Answer = iota + 1
	// NoAnswer: the outcome is unknown; the command may have been carried out, or
	// may still be.
	NoAnswer
	// Fenced: the worker has seen a higher epoch; nothing was done.
	Fenced
	// Superseded: a run of the task with the same or a higher number has already
	// ended or been stopped on the worker.
	Superseded
	// TooLate: the deadline of the start had passed; nothing was done.
	TooLate
	// NoRoom: the worker has too little free capacity; nothing was done.
	NoRoom
	// Unhealthy: the worker is not healthy; nothing was done.
	Unhealthy
	// WrongWorker: another worker, or another incarnation of the one that is meant, answers at
	// the address; nothing was done.
	WrongWorker
	// Rejected: the command was malformed or not allowed; nothing was done.
	Rejected
)

// String returns the answer's name.
func (a Answer) String() string {
	return [...]string{"none", "done", "no answer", "fenced", "superseded", "too late", "no room",
		"unhealthy", "other life", "rejected"}[a]
}
