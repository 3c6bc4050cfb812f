package checker

import (
	"fmt"
	"time"
)

// Invariant is the id of an invariant in docs/design.md.
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

// Bounds are the stated limits on the invariants that allow a delay.
type Bounds struct {
	// TakeOut is the longest time after a confirmed take-out in which a task
	// may still start.
	TakeOut time.Duration
	// Leaving is the longest time in which a leaving server may get new work.
	Leaving time.Duration
	// Configuration is the longest time until an accepted version is in force.
	Configuration time.Duration
}

// DefaultBounds returns the limits of docs/design.md: "a few seconds" is read
// as 5 s, the bound that the planned scale states for configuration changes.
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
	// Index is the place of the breaching event in the history.
	Index   int
	At      time.Duration
	Message string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at event %d (%v): %s", v.Invariant, v.Index, v.At, v.Message)
}

// judge looks at events in order and reports breaches of one invariant.
type judge interface {
	observe(index int, e Event) []Violation
	// finish reports what is missing at the end of a history of n events.
	finish(n int, at time.Duration) []Violation
}

// Check judges a history. Events must be in order of time.
func Check(history []Event, bounds Bounds) ([]Violation, error) {
	if err := ordered(history); err != nil {
		return nil, err
	}
	judges := newJudges(bounds)
	var violations []Violation
	var last time.Duration
	for i, e := range history {
		last = e.At
		for _, j := range judges {
			violations = append(violations, j.observe(i, e)...)
		}
	}
	for _, j := range judges {
		violations = append(violations, j.finish(len(history), last)...)
	}
	return violations, nil
}

func newJudges(bounds Bounds) []judge {
	return []judge{
		newOvercommitJudge(),
		newOnePlaceJudge(),
		newResumeJudge(),
		newTakeOutJudge(bounds.TakeOut),
		newAnswerJudge(),
		newRequestJudge(),
		newLeavingJudge(bounds.Leaving),
		newStopJudge(),
		newConfigurationJudge(bounds.Configuration),
	}
}

func ordered(history []Event) error {
	for i := 1; i < len(history); i++ {
		if history[i].At < history[i-1].At {
			return fmt.Errorf("event %d is earlier than event %d", i, i-1)
		}
	}
	return nil
}

func breach(inv Invariant, index int, e Event, format string, args ...any) []Violation {
	return []Violation{{Invariant: inv, Index: index, At: e.At, Message: fmt.Sprintf(format, args...)}}
}
