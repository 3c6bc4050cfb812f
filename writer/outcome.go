package writer

import "github.com/cactusreel/cactusreel/result"

// Outcome is the state of knowledge about a submission.
type Outcome int

// Outcomes of a submission.
const (
	// Unknown means that the log may contain the item now or later.
	Unknown Outcome = iota
	// Accepted means that the item was read back from the log.
	Accepted
	// NotSent means that the log does not contain the item and never will.
	NotSent
)

// Result is the outcome of a submission. The zero value is Unknown.
type Result struct {
	Outcome Outcome
	// Offset is the offset of the batch's log record, if Accepted.
	Offset int64
	// Index is the item's position in the batch, from 0, if Accepted.
	Index int
}

// Err returns nil if the item was accepted, otherwise an error with code
// NotRunLogUnavailable or WriteOutcomeUnknown.
func (r Result) Err() error {
	switch r.Outcome {
	case Accepted:
		return nil
	case NotSent:
		return result.Errorf(result.NotRunLogUnavailable, "the record was not sent to the log")
	default:
		return result.Errorf(result.WriteOutcomeUnknown, "the record was not read back from the log in time")
	}
}
