package dispatch

// Answer is a worker's answer to an order.
type Answer int

// Answers.
const (
	// Done: the order was carried out, or had been before.
	Done Answer = iota + 1
	// NoAnswer: the order may have been carried out, or may still be.
	NoAnswer
	// Fenced: the worker has seen a higher epoch; nothing was done.
	Fenced
	// Superseded: the run is not higher than one that ended or was stopped there.
	Superseded
	// TooLate: the start's deadline had passed; nothing was done.
	TooLate
	// NoRoom: the worker has no room; nothing was done.
	NoRoom
	// Unhealthy: the worker did nothing because it is not healthy.
	Unhealthy
	// WrongWorker: the address answers as another worker.
	WrongWorker
	// Rejected: the order was malformed or not allowed; nothing was done.
	Rejected
)

// String returns the answer's name.
func (a Answer) String() string {
	return [...]string{"none", "done", "no answer", "fenced", "superseded", "too late", "no room",
		"unhealthy", "other life", "rejected"}[a]
}
