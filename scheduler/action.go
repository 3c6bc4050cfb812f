package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// ActionKind is the kind of an action on a running attempt.
type ActionKind int

// Action kinds, in order of escalation.
const (
	// Throttle sets the processor share of an attempt; a share of 1 lifts it.
	Throttle ActionKind = iota
	// Move takes a checkpoint, stops the attempt and places the task elsewhere.
	Move
	// Evict stops the attempt at once; it resumes from its newest checkpoint.
	Evict
	// Stop ends an attempt permanently.
	Stop
)

// String returns the name of the kind in lower case.
func (k ActionKind) String() string {
	switch k {
	case Throttle:
		return "throttle"
	case Move:
		return "move"
	case Evict:
		return "evict"
	case Stop:
		return "stop"
	}
	return "unknown"
}

// Action is a decision on a running attempt.
type Action struct {
	Kind   ActionKind
	ID     hostapi.AttemptID
	Worker string
	Boot   string
	// Share is the processor share of a Throttle, from 0 to 1.
	Share float64
	// To is the cell to move to; nil means the same cell.
	To *CellID
	// Reason is the text for the task's condition.
	Reason string
}
