package checker

import "time"

// leavingJudge holds I8: a leaving backend server gets no request later than
// the bound after it said so, and no task.
type leavingJudge struct {
	bound   time.Duration
	leaving map[string]time.Duration
}

func newLeavingJudge(bound time.Duration) *leavingJudge {
	return &leavingJudge{bound: bound, leaving: make(map[string]time.Duration)}
}

func (j *leavingJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case ServerLeaving:
		if _, already := j.leaving[e.Worker]; !already {
			j.leaving[e.Worker] = e.At
		}
	case WorkerLost:
		delete(j.leaving, e.Worker)
	case RunStarted, AttemptStarted:
		since, leaving := j.leaving[e.Worker]
		if leaving && e.At > since+j.bound {
			return breach(NoWorkWhenLeaving, index, e, "worker %s got new work %v after it began to leave", e.Worker, e.At-since)
		}
	}
	return nil
}

func (j *leavingJudge) finish(int, time.Duration) []Violation { return nil }
