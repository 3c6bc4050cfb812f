package dedup

// State is the recorded state of an id in a table. Higher states are more
// definite; a merge keeps the higher one.
type State uint8

// States of an id.
const (
	// MayHaveRun means that the id may have run or may still run.
	MayHaveRun State = iota
	// OutcomeUnknown means that the request was sent and its outcome is not
	// known.
	OutcomeUnknown
	// AnswerNotKept means that the request ran and its answer is not kept.
	AnswerNotKept
	// Answered means that the answer is kept.
	Answered
)
