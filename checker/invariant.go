package checker

import (
	"fmt"
	"time"
)

// Invariant is the id of an invariant of docs/design.md.
type Invariant string

// Invariants.
const (
	NoOvercommit             Invariant = "I1"
	OneRunningAttempt        Invariant = "I2"
	ExactlyOnceCompletion    Invariant = "I3"
	NoStartWhenTakenOut      Invariant = "I4"
	AnswerIntegrity          Invariant = "I5"
	NotRunMeansNotExecuted   Invariant = "I6"
	AtMostOnce               Invariant = "I7"
	NoWorkWhenLeaving        Invariant = "I8"
	GracefulStop             Invariant = "I9"
	ConfigurationConvergence Invariant = "I10"
)

// Bounds holds the limits of the invariants that allow a delay.
type Bounds struct {
	// TakeOut is the maximum time after a confirmed take-out at which a task may
	// still start.
	TakeOut time.Duration
	// Leaving is the maximum time after a server's notice of leaving at which it
	// may still get new work.
	Leaving time.Duration
	// Configuration is the maximum time until an accepted version is in force.
	Configuration time.Duration
}

// DefaultBounds returns the limits of docs/design.md: "a few seconds" is taken
// as 5 s, the limit that the planned scale sets for configuration changes.
func DefaultBounds() Bounds {
	return Bounds{
		TakeOut:       5 * time.Second,
		Leaving:       5 * time.Second,
		Configuration: 5 * time.Second,
	}
}

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	// Index is the position in the history of the event that breaks the invariant.
	Index   int
	At      time.Duration
	Message string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at event %d (%v): %s", v.Invariant, v.Index, v.At, v.Message)
}

// invariantChecker checks one invariant over the events of a history.
type invariantChecker interface {
	// observe processes the next event and returns the violations that it shows.
	observe(index int, e Event) []Violation
	// finish returns what is missing at the end of a history of n events; at is
	// the time of the last one.
	finish(n int, at time.Duration) []Violation
}

// Check returns the violations of a history. It returns an error if the events
// are not in order of time.
func Check(history []Event, bounds Bounds) ([]Violation, error) {
	if err := checkOrder(history); err != nil {
		return nil, err
	}
	checkers := newCheckers(bounds)
	var violations []Violation
	var last time.Duration
	for i, e := range history {
		last = e.At
		for _, c := range checkers {
			violations = append(violations, c.observe(i, e)...)
		}
	}
	for _, c := range checkers {
		violations = append(violations, c.finish(len(history), last)...)
	}
	return violations, nil
}

func newCheckers(bounds Bounds) []invariantChecker {
	return []invariantChecker{
		newOvercommitChecker(),
		newOneAttemptChecker(),
		newCompletionChecker(),
		newTakeOutChecker(bounds.TakeOut),
		newAnswerChecker(),
		newRequestChecker(),
		newLeavingChecker(bounds.Leaving),
		newStopChecker(),
		newConfigurationChecker(bounds.Configuration),
	}
}

func checkOrder(history []Event) error {
	for i := 1; i < len(history); i++ {
		if history[i].At < history[i-1].At {
			return fmt.Errorf("event %d is earlier than event %d", i, i-1)
		}
	}
	return nil
}

// violated returns the violation of an invariant by event e.
func violated(inv Invariant, index int, e Event, format string, args ...any) []Violation {
	return []Violation{{Invariant: inv, Index: index, At: e.At, Message: fmt.Sprintf(format, args...)}}
}
