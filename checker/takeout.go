package checker

import "time"

// takeOutChecker checks I4: no task starts in a data centre later than the bound
// after its take-out was confirmed.
type takeOutChecker struct {
	bound        time.Duration
	dataCentreOf map[string]string
	takenOutAt   map[string]time.Duration
}

func newTakeOutChecker(bound time.Duration) *takeOutChecker {
	return &takeOutChecker{
		bound:        bound,
		dataCentreOf: make(map[string]string),
		takenOutAt:   make(map[string]time.Duration),
	}
}

func (c *takeOutChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case WorkerSeen:
		c.dataCentreOf[e.Worker] = e.DataCentre
	case TakenOut:
		if _, already := c.takenOutAt[e.DataCentre]; !already {
			c.takenOutAt[e.DataCentre] = e.At
		}
	case BroughtBack:
		delete(c.takenOutAt, e.DataCentre)
	case AttemptStarted:
		name := c.dataCentreOf[e.Worker]
		since, out := c.takenOutAt[name]
		if out && e.At > since+c.bound {
			return violated(NoStartWhenTakenOut, index, e, "task %s started in %s %v after it was taken out", e.Task, name, e.At-since)
		}
	}
	return nil
}

func (c *takeOutChecker) finish(int, time.Duration) []Violation { return nil }
