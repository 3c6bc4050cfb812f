package dedup

// State is what a table knows about an id. Higher states are more definite;
// a merge keeps the higher one.
type State uint8

// States of an id.
const (
	// MayHaveRun means that the id may have run or may still run.
	MayHaveRun State = iota
	// OutcomeUnknown means that the request was sent and its outcome was not learned.
	OutcomeUnknown
	// AnswerNotKept means that the request ran and its answer is not kept.
	AnswerNotKept
	// Answered means that the answer is kept.
	Answered
)
