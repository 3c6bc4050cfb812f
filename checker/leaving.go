package checker

import "time"

// leavingChecker checks I8: a backend server gets no request and no task later
// than the bound after it was observed to leave.
type leavingChecker struct {
	bound        time.Duration
	leavingSince map[string]time.Duration
}

func newLeavingChecker(bound time.Duration) *leavingChecker {
	return &leavingChecker{bound: bound, leavingSince: make(map[string]time.Duration)}
}

func (c *leavingChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case ServerLeaving:
		if _, already := c.leavingSince[e.Worker]; !already {
			c.leavingSince[e.Worker] = e.At
		}
	case WorkerLost:
		delete(c.leavingSince, e.Worker)
	case RunStarted, AttemptStarted:
		since, leaving := c.leavingSince[e.Worker]
		if leaving && e.At > since+c.bound {
			return violated(NoWorkWhenLeaving, index, e, "worker %s got new work %v after it started to leave", e.Worker, e.At-since)
		}
	}
	return nil
}

func (c *leavingChecker) finish(int, time.Duration) []Violation { return nil }
