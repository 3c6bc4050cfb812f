package checker

import "time"

// takeOutJudge holds I4: no start in a data centre later than the bound after
// its take-out was confirmed.
type takeOutJudge struct {
	bound      time.Duration
	dataCentre map[string]string
	out        map[string]time.Duration
}

func newTakeOutJudge(bound time.Duration) *takeOutJudge {
	return &takeOutJudge{
		bound:      bound,
		dataCentre: make(map[string]string),
		out:        make(map[string]time.Duration),
	}
}

func (j *takeOutJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case WorkerSeen:
		j.dataCentre[e.Worker] = e.DataCentre
	case TakenOut:
		if _, already := j.out[e.DataCentre]; !already {
			j.out[e.DataCentre] = e.At
		}
	case BroughtBack:
		delete(j.out, e.DataCentre)
	case AttemptStarted:
		name := j.dataCentre[e.Worker]
		since, out := j.out[name]
		if out && e.At > since+j.bound {
			return breach(NoStartWhenTakenOut, index, e, "task %s started in %s %v after it was taken out", e.Task, name, e.At-since)
		}
	}
	return nil
}

func (j *takeOutJudge) finish(int, time.Duration) []Violation { return nil }
