package checker

import (
	"fmt"
	"slices"
	"time"
)

// taskState holds what was observed of one task.
type taskState struct {
	accepted    bool
	cancelled   bool
	completions int
	// requiredCheckpoint is the newest one that a stopped attempt reported. The
	// next attempt must resume from it or from optionalCheckpoint.
	requiredCheckpoint string
	// optionalCheckpoint is the newest checkpoint of an attempt that failed or
	// expired since. It may not have reached the scheduler, so resuming from it is
	// optional.
	optionalCheckpoint string
}

// completionChecker checks I3: an accepted task completes exactly once, and an
// attempt after an interruption resumes from the newest checkpoint.
type completionChecker struct {
	tasks        map[string]*taskState
	historyEnded bool
}

func newCompletionChecker() *completionChecker {
	return &completionChecker{tasks: make(map[string]*taskState)}
}

func (c *completionChecker) task(name string) *taskState {
	t := c.tasks[name]
	if t == nil {
		t = &taskState{}
		c.tasks[name] = t
	}
	return t
}

func (c *completionChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case TaskAccepted:
		c.task(e.Task).accepted = true
	case TaskCancelled:
		c.task(e.Task).cancelled = true
	case AttemptStarted:
		return c.attemptStarted(index, e)
	case AttemptEnded:
		return c.attemptEnded(index, e)
	case HistoryEnd:
		c.historyEnded = true
	}
	return nil
}

func (c *completionChecker) attemptStarted(index int, e Event) []Violation {
	t := c.task(e.Task)
	if t.completions > 0 {
		return violated(ExactlyOnceCompletion, index, e, "task %s attempt %d started after the task had completed", e.Task, e.Attempt)
	}
	resumesOptional := t.optionalCheckpoint != "" && e.Checkpoint == t.optionalCheckpoint
	if e.Checkpoint != t.requiredCheckpoint && !resumesOptional {
		return violated(ExactlyOnceCompletion, index, e, "task %s attempt %d resumes from %q, newest checkpoint is %q",
			e.Task, e.Attempt, e.Checkpoint, t.requiredCheckpoint)
	}
	return nil
}

func (c *completionChecker) attemptEnded(index int, e Event) []Violation {
	t := c.task(e.Task)
	t.recordCheckpoint(e)
	if e.Outcome != Completed {
		return nil
	}
	t.completions++
	if t.completions > 1 {
		return violated(ExactlyOnceCompletion, index, e, "task %s completed %d times", e.Task, t.completions)
	}
	return nil
}

// finish reports accepted tasks that never completed. They are reported only if
// the history has a HistoryEnd event, so that all work should have finished.
func (c *completionChecker) finish(n int, at time.Duration) []Violation {
	if !c.historyEnded {
		return nil
	}
	var lost []string
	for name, t := range c.tasks {
		if t.accepted && !t.cancelled && t.completions == 0 {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	var violations []Violation
	for _, name := range lost {
		message := fmt.Sprintf("task %s was accepted and never completed", name)
		violations = append(violations, Violation{Invariant: ExactlyOnceCompletion, Index: n, At: at, Message: message})
	}
	return violations
}

func (t *taskState) recordCheckpoint(e Event) {
	if e.Checkpoint == "" {
		return
	}
	if e.Outcome == Stopped {
		t.requiredCheckpoint = e.Checkpoint
		t.optionalCheckpoint = ""
		return
	}
	t.optionalCheckpoint = e.Checkpoint
}
