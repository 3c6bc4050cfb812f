package checker

import "time"

// requestLife is what was seen of one request id.
type requestLife struct {
	idempotent bool
	runs       int
	// notRun is set while every finished try was answered with "not run".
	notRun bool
	// tries counts the tries that were sent and not yet answered.
	tries int
	// otherwise is set if a try ended in any other way than "not run".
	otherwise bool
}

// requestJudge holds I6 and I7. A request whose tries were all answered with
// "not run" has no run, before or after the answers; a non-idempotent request
// has at most one run.
type requestJudge struct {
	requests map[string]*requestLife
}

func newRequestJudge() *requestJudge {
	return &requestJudge{requests: make(map[string]*requestLife)}
}

func (j *requestJudge) request(id string) *requestLife {
	r := j.requests[id]
	if r == nil {
		r = &requestLife{}
		j.requests[id] = r
	}
	return r
}

func (j *requestJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case RequestSent:
		r := j.request(e.Request)
		r.idempotent = e.Idempotent
		r.tries++
	case RequestAnswered:
		return j.answer(index, e)
	case RunStarted:
		return j.run(index, e)
	}
	return nil
}

func (j *requestJudge) answer(index int, e Event) []Violation {
	r := j.request(e.Request)
	r.tries--
	if e.Result != NotRun {
		r.otherwise = true
		return nil
	}
	r.notRun = true
	if r.runs > 0 && !r.otherwise && r.tries == 0 {
		return breach(NotRunMeansNotExecuted, index, e, "request %s was reported as not run and had run", e.Request)
	}
	return nil
}

func (j *requestJudge) run(index int, e Event) []Violation {
	r := j.request(e.Request)
	r.runs++
	if r.notRun && !r.otherwise && r.tries == 0 {
		return breach(NotRunMeansNotExecuted, index, e, "request %s ran after it was reported as not run", e.Request)
	}
	if !r.idempotent && r.runs > 1 {
		return breach(AtMostOnce, index, e, "request %s ran %d times", e.Request, r.runs)
	}
	return nil
}

func (j *requestJudge) finish(int, time.Duration) []Violation { return nil }
