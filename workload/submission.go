package workload

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of a submission, to limit what one request can make a node hold.
const (
	// MaxSteps bounds the steps of a submission.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks = 5000
	// MaxOccurrences bounds the occurrences of a schedule.
	MaxOccurrences = 10000
)

// ErrInvalid is wrapped by the errors of Submission.Validate.
var ErrInvalid = errors.New("invalid submission")

// Policy is the part of a queue that a submission keeps from its acceptance.
type Policy struct {
	// Service names the pool of workers that runs the tasks.
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its submission fails.
	MaxAttempts int
	// SlackFactor scales the longest chain of work in the objective.
	SlackFactor float64
	// TargetCompletion is added to the scaled chain in the objective.
	TargetCompletion time.Duration
}

// Submission is a unit of work that a caller hands in under an id of its own.
type Submission struct {
	// ID is chosen by the caller and unique.
	ID string
	// Queue is the queue's name.
	Queue string
	// Spec is passed to each task unchanged.
	Spec   string
	Steps  []Step
	Policy Policy
	// Occurrences is how often the steps run; 0 and 1 mean once.
	Occurrences int
	// StartAt is when occurrence 0 is due, on the time of day. Zero is at once.
	StartAt time.Time
	// Interval is the time between occurrences.
	Interval time.Duration
	// AcceptedAt is the accepting node's time of day.
	AcceptedAt time.Time
}

// Scheduled tells whether the submission runs on a schedule.
func (s *Submission) Scheduled() bool { return s.Occurrences > 0 }

// OccurrenceCount returns the number of occurrences, at least 1.
func (s *Submission) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueAt returns the time of day at which an occurrence may start.
func (s *Submission) DueAt(occurrence int) time.Time {
	if !s.Scheduled() {
		return s.AcceptedAt
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// Validate returns an error that wraps ErrInvalid if the steps can't be followed.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return fmt.Errorf("%w: %d occurrences, want 0 to %d", ErrInvalid, s.Occurrences, MaxOccurrences)
	}
	tasks := 0
	for i, step := range s.Steps {
		if step.Tasks <= 0 {
			return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, i, step.Tasks)
		}
		tasks += step.Tasks
		for _, before := range step.After {
			if before < 0 || before >= i {
				return fmt.Errorf("%w: step %d comes after step %d", ErrInvalid, i, before)
			}
		}
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, want at most %d", ErrInvalid, tasks, MaxTasks)
	}
	return nil
}

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (s *Submission) CriticalPath() time.Duration {
	var longest time.Duration
	for i := range s.Steps {
		longest = max(longest, s.CriticalPathFrom(i))
	}
	return longest
}

// CriticalPathFrom returns the estimated time of the longest chain of steps that begins
// with a step.
func (s *Submission) CriticalPathFrom(step int) time.Duration {
	left := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= step; i-- {
		left[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			left[before] = max(left[before], left[i])
		}
	}
	return left[step]
}

// Objective returns the time after the due time by which the work should be done.
func (s *Submission) Objective() time.Duration {
	return time.Duration(s.Policy.SlackFactor*float64(s.CriticalPath())) + s.Policy.TargetCompletion
}
