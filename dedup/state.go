package dedup

// State is what a table knows about an id. Higher states are more definite;
// a merge keeps the higher one.
type State uint8

// States of an id.
const (
	// Known means that the id may have run or may still run.
	Known State = iota
	// Unknown means that the request was sent and its outcome was not learned.
	Unknown
	// NotKept means that the request ran and its answer is not kept.
	NotKept
	// Answered means that the answer is kept.
	Answered
)
