package scheduler

import "math"

const (
	// unknownRatio is assumed of a service without a measured p99.
	unknownRatio = 0.7
	// nearTarget is the ratio of p99 to target from which a service is near it.
	nearTarget = 0.8
	// overCost is the cost per unit of predicted ratio above nearTarget.
	overCost = 4
	// batchCost is the cost of the log slowdown of a batch task.
	batchCost = 0.3
	// serviceCost is the cost of the log slowdown of a service within its target.
	serviceCost = 1
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
		cost += r.pairCost(t, a.Kind, a.Service, unknownRatio, load)
	}
	return cost
}

// expectedRatio returns the ratio of a service's p99 to its target with the
// work that was placed after the report was measured: several tasks can arrive
// within the lag.
func (r *Round) expectedRatio(a *Attempt, c *Candidate, load float64) float64 {
	target, fresh := a.TargetRatio, 0.0
	if target == 0 {
		target = unknownRatio
	}
	for i := range c.Worker.Attempts {
		if o := &c.Worker.Attempts[i]; o != a && r.Now-o.StartedAt < progressLag {
			fresh += r.policy.knowledge.pairs.Estimate(r.Now, a.Kind, o.Kind, load).Mean
		}
	}
	for _, o := range c.Added {
		fresh += r.policy.knowledge.pairs.Estimate(r.Now, a.Kind, o.Kind, load).Mean
	}
	return target * math.Exp(fresh)
}

// pairCost returns the cost of a task beside one neighbour.
func (r *Round) pairCost(t *Task, kind string, service bool, target, load float64) float64 {
	tail, batch := weight(r.Snapshot.weights.TailLatency), weight(r.Snapshot.weights.Throughput)
	cost := 0.0
	onOther := r.policy.harm(r, kind, t.Kind, load, target)
	if service {
		after := target * math.Exp(onOther)
		cost += tail * (serviceCost*onOther + overCost*max(0, after-max(nearTarget, target)))
	} else {
		cost += batch * batchCost * onOther
	}
	onTask := r.policy.harm(r, t.Kind, kind, load, unknownRatio)
	if t.Service {
		return cost + tail*serviceCost*onTask
	}
	return cost + batch*batchCost*onTask
}

// harm returns the log slowdown to reckon with. With exploration, an uncertain
// pair counts as worse near a target, and as harmless far from it so that it is
// tried there.
func (p *Policy) harm(r *Round, victim, aggressor string, load, target float64) float64 {
	e := p.knowledge.pairs.Estimate(r.Now, victim, aggressor, load)
	if !p.config.Rules.Has(RuleExploration) {
		return e.Mean
	}
	deviation := math.Sqrt(e.Variance)
	if target >= nearTarget {
		return e.Mean + deviation
	}
	return max(0, e.Mean-deviation/4)
}
