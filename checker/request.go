package checker

import "time"

// requestState holds what was observed of one request id.
type requestState struct {
	idempotent bool
	runs       int
	// reportedNotRun is set once a try was answered with "not run".
	reportedNotRun bool
	// unanswered counts the tries that were sent and not yet answered.
	unanswered int
	// otherResult is set once a try ended with any result but "not run".
	otherResult bool
}

// requestChecker checks I6 and I7. A request whose tries were all answered with
// "not run" has no run, before or after the answers; a non-idempotent request
// has at most one run.
type requestChecker struct {
	requests map[string]*requestState
}

func newRequestChecker() *requestChecker {
	return &requestChecker{requests: make(map[string]*requestState)}
}

func (c *requestChecker) request(id string) *requestState {
	r := c.requests[id]
	if r == nil {
		r = &requestState{}
		c.requests[id] = r
	}
	return r
}

func (c *requestChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case RequestSent:
		r := c.request(e.Request)
		r.idempotent = e.Idempotent
		r.unanswered++
	case RequestAnswered:
		return c.requestAnswered(index, e)
	case RunStarted:
		return c.runStarted(index, e)
	}
	return nil
}

func (c *requestChecker) requestAnswered(index int, e Event) []Violation {
	r := c.request(e.Request)
	r.unanswered--
	if e.Result != NotRun {
		r.otherResult = true
		return nil
	}
	r.reportedNotRun = true
	if r.runs > 0 && !r.otherResult && r.unanswered == 0 {
		return violated(NotRunMeansNotExecuted, index, e, "request %s was reported as not run but had run", e.Request)
	}
	return nil
}

func (c *requestChecker) runStarted(index int, e Event) []Violation {
	r := c.request(e.Request)
	r.runs++
	if r.reportedNotRun && !r.otherResult && r.unanswered == 0 {
		return violated(NotRunMeansNotExecuted, index, e, "request %s ran after it was reported as not run", e.Request)
	}
	if !r.idempotent && r.runs > 1 {
		return violated(AtMostOnce, index, e, "request %s ran %d times", e.Request, r.runs)
	}
	return nil
}

func (c *requestChecker) finish(int, time.Duration) []Violation { return nil }
