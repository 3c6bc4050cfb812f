package checker

import "time"

// runningAttempt is an attempt and the worker that runs it.
type runningAttempt struct {
	worker  string
	attempt int64
}

// oneAttemptChecker checks I2: at most one attempt of a task runs at a time, and
// attempt numbers increase.
type oneAttemptChecker struct {
	running        map[string]runningAttempt
	highestAttempt map[string]int64
}

func newOneAttemptChecker() *oneAttemptChecker {
	return &oneAttemptChecker{running: make(map[string]runningAttempt), highestAttempt: make(map[string]int64)}
}

func (c *oneAttemptChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case AttemptStarted:
		return c.attemptStarted(index, e)
	case AttemptEnded:
		if c.running[e.Task] == (runningAttempt{e.Worker, e.Attempt}) {
			delete(c.running, e.Task)
		}
	case WorkerLost:
		for task, p := range c.running {
			if p.worker == e.Worker {
				delete(c.running, task)
			}
		}
	}
	return nil
}

func (c *oneAttemptChecker) attemptStarted(index int, e Event) []Violation {
	other, running := c.running[e.Task]
	c.running[e.Task] = runningAttempt{e.Worker, e.Attempt}
	if running {
		return violated(OneRunningAttempt, index, e, "task %s attempt %d started on %s while attempt %d runs on %s",
			e.Task, e.Attempt, e.Worker, other.attempt, other.worker)
	}
	if e.Attempt <= c.highestAttempt[e.Task] {
		return violated(OneRunningAttempt, index, e, "task %s attempt %d started after attempt %d", e.Task, e.Attempt, c.highestAttempt[e.Task])
	}
	c.highestAttempt[e.Task] = e.Attempt
	return nil
}

func (c *oneAttemptChecker) finish(int, time.Duration) []Violation { return nil }
