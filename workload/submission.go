package workload

import (
	"errors"
	"fmt"
	"time"
)

// Limits of a submission. They bound the memory that one request can take on a
// node.
const (
	// MaxSteps limits the steps of a submission.
	MaxSteps = 64
	// MaxTasks limits the tasks of one occurrence.
	MaxTasks = 5000
	// MaxOccurrences limits the occurrences of a schedule.
	MaxOccurrences = 10000
	// MaxTotalTasks limits the tasks of all occurrences. A node keeps about 150 bytes
	// for each, and the smallest VMs have 184 MB.
	MaxTotalTasks = 100000
)

// ErrInvalid is wrapped by the errors of Submission.Validate.
var ErrInvalid = errors.New("invalid submission")

// Policy is the part of a queue's settings that a submission keeps from the time
// of its acceptance.
type Policy struct {
	// Service names the pool of workers that runs the tasks.
	Service string
	// Priority is the scheduling priority; 0 is the highest.
	Priority int
	// MaxAttempts is how often a task may fail before its submission fails.
	MaxAttempts int
	// SlackFactor is the factor of the critical path in the objective.
	SlackFactor float64
	// TargetCompletion is the constant part of the objective.
	TargetCompletion time.Duration
}

// Submission is a unit of work that a caller submits under an id of its choice.
type Submission struct {
	// ID is chosen by the caller and must be unique.
	ID string
	// Tenant is the name of the tenant whose key the caller presented; "" for a
	// public queue.
	Tenant string
	// Queue is the queue's name.
	Queue string
	// Spec is passed to each task unchanged.
	Spec   string
	Steps  []Step
	Policy Policy
	// Occurrences is the number of times that the steps run; 0 and 1 mean once.
	Occurrences int
	// StartAt is the wall-clock time at which occurrence 0 is due; the zero time
	// means at once.
	StartAt time.Time
	// Interval is the time between occurrences.
	Interval time.Duration
	// AcceptedAt is the accepting node's wall-clock time.
	AcceptedAt time.Time
}

// Scheduled reports whether the submission runs on a schedule.
func (s *Submission) Scheduled() bool { return s.Occurrences > 0 }

// OccurrenceCount returns the number of occurrences, at least 1.
func (s *Submission) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueAt returns the wall-clock time at which an occurrence is due.
func (s *Submission) DueAt(occurrence int) time.Time {
	if !s.Scheduled() {
		return s.AcceptedAt
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// Validate returns an error that wraps ErrInvalid if the steps are not valid or a
// limit is exceeded.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return fmt.Errorf("%w: %d occurrences, want 0 to %d", ErrInvalid, s.Occurrences, MaxOccurrences)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.validate(); err != nil {
			return fmt.Errorf("%w: step %d %w", ErrInvalid, i, err)
		}
		tasks += step.Tasks
		if len(step.After) > i {
			return fmt.Errorf("%w: step %d depends on %d steps", ErrInvalid, i, len(step.After))
		}
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier one", ErrInvalid, i, dependency)
			}
		}
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, want at most %d", ErrInvalid, tasks, MaxTasks)
	}
	if total := tasks * s.OccurrenceCount(); total > MaxTotalTasks {
		return fmt.Errorf("%w: %d tasks in all occurrences, want at most %d", ErrInvalid, total, MaxTotalTasks)
	}
	return nil
}

// CriticalPath returns the estimated run time of the longest chain of dependent
// steps.
func (s *Submission) CriticalPath() time.Duration {
	var longest time.Duration
	for i := range s.Steps {
		longest = max(longest, s.CriticalPathFrom(i))
	}
	return longest
}

// CriticalPathFrom returns the estimated run time of the longest chain of
// dependent steps that begins with a step.
func (s *Submission) CriticalPathFrom(step int) time.Duration {
	remaining := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= step; i-- {
		remaining[i] += s.Steps[i].Estimate
		for _, dependency := range s.Steps[i].After {
			remaining[dependency] = max(remaining[dependency], remaining[i])
		}
	}
	return remaining[step]
}

// Objective returns the duration after the due time within which an occurrence
// should complete, by the estimates of its steps.
func (s *Submission) Objective() time.Duration { return s.ObjectiveOf(s.CriticalPath()) }

// ObjectiveOf returns the same for a run time of the longest chain of dependent steps.
func (s *Submission) ObjectiveOf(chain time.Duration) time.Duration {
	return time.Duration(s.Policy.SlackFactor*float64(chain)) + s.Policy.TargetCompletion
}
