package scheduler

import "math"

const (
	// defaultTargetRatio is assumed of a service without a measured p99.
	defaultTargetRatio = 0.7
	// nearTargetRatio is the ratio of p99 to target from which a service is near it.
	nearTargetRatio = 0.8
	// overTargetCost is the cost per unit of predicted ratio above nearTarget.
	overTargetCost = 4
	// batchSlowdownCost is the cost of the log slowdown of a batch task.
	batchSlowdownCost = 0.3
	// serviceSlowdownCost is the cost of the log slowdown of a service within its target.
	serviceSlowdownCost = 1
)

// interferenceRule avoids pairs that slow each other down.
type interferenceRule struct{}

// Score returns the predicted slowdown of the task and of its neighbours.
func (interferenceRule) Score(r *Round, t *Task, c *Candidate) float64 {
	load := 1 - ratio(c.Free.MilliCPU-t.Requests.MilliCPU, c.Worker.Capacity.MilliCPU)
	cost := 0.0
	for i := range c.Worker.Attempts {
		a := &c.Worker.Attempts[i]
		target := a.TargetRatio
		if a.Service {
			target = r.expectedRatio(a, c, load)
		}
		cost += r.pairCost(t, a.Kind, a.Service, target, load)
	}
	for _, a := range c.Added {
		cost += r.pairCost(t, a.Kind, a.Service, defaultTargetRatio, load)
	}
	return cost
}

// expectedRatio returns the ratio of a service's p99 to its target with the
// work that was placed after the report was measured: several tasks can arrive
// within the lag.
func (r *Round) expectedRatio(a *Attempt, c *Candidate, load float64) float64 {
	target, fresh := a.TargetRatio, 0.0
	if target == 0 {
		target = defaultTargetRatio
	}
	for i := range c.Worker.Attempts {
		if o := &c.Worker.Attempts[i]; o != a && r.Now-o.StartedAt < progressLag {
			fresh += r.policy.learned.pairs.Estimate(r.Now, a.Kind, o.Kind, load).Mean
		}
	}
	for _, o := range c.Added {
		fresh += r.policy.learned.pairs.Estimate(r.Now, a.Kind, o.Kind, load).Mean
	}
	return target * math.Exp(fresh)
}

// pairCost returns the cost of a task beside one neighbour.
func (r *Round) pairCost(t *Task, kind string, service bool, target, load float64) float64 {
	tail, batch := weightFactor(r.Snapshot.weights.TailLatency), weightFactor(r.Snapshot.weights.Throughput)
	cost := 0.0
	onOther := r.policy.expectedSlowdown(r, kind, t.Kind, load, target)
	if service {
		after := target * math.Exp(onOther)
		cost += tail * (serviceSlowdownCost*onOther + overTargetCost*max(0, after-max(nearTargetRatio, target)))
	} else {
		cost += batch * batchSlowdownCost * onOther
	}
	onTask := r.policy.expectedSlowdown(r, t.Kind, kind, load, defaultTargetRatio)
	if t.Service {
		return cost + tail*serviceSlowdownCost*onTask
	}
	return cost + batch*batchSlowdownCost*onTask
}

// expectedSlowdown returns the log slowdown to reckon with. With exploration, an uncertain
// pair counts as worse near a target, and as harmless far from it so that it is
// tried there.
func (p *Policy) expectedSlowdown(r *Round, victim, aggressor string, load, target float64) float64 {
	e := p.learned.pairs.Estimate(r.Now, victim, aggressor, load)
	if !p.config.Rules.Has(RuleExploration) {
		return e.Mean
	}
	deviation := math.Sqrt(e.Variance)
	if target >= nearTargetRatio {
		return e.Mean + deviation
	}
	return max(0, e.Mean-deviation/4)
}
