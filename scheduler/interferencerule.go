package scheduler

import "math"

const (
	// defaultTargetRatio is the ratio of p99 to target that is assumed for a
	// service without a measured p99.
	defaultTargetRatio = 0.7
	// nearTargetRatio is the ratio of p99 to target from which a service counts as
	// near its target.
	nearTargetRatio = 0.8
	// overTargetCost is the cost per unit of predicted ratio above nearTargetRatio.
	overTargetCost = 4
	// batchSlowdownCost is the cost per unit of log slowdown of a batch task.
	batchSlowdownCost = 0.3
	// serviceSlowdownCost is the cost per unit of log slowdown of a service within
	// its target.
	serviceSlowdownCost = 1
)

// interferenceRule avoids colocating tasks that slow each other down.
type interferenceRule struct{}

// Score returns the cost of the predicted slowdown of the task and of the tasks
// beside it on the worker.
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

// expectedRatio returns the predicted ratio of a service's p99 to its target. It
// includes the slowdown by tasks that were placed after the ratio was measured,
// because several tasks can arrive within the lag of the reports.
func (r *Round) expectedRatio(a *Attempt, c *Candidate, load float64) float64 {
	target, recent := a.TargetRatio, 0.0
	if target == 0 {
		target = defaultTargetRatio
	}
	for i := range c.Worker.Attempts {
		if other := &c.Worker.Attempts[i]; other != a && r.Now-other.StartedAt < progressLag {
			recent += r.policy.learned.pairs.Estimate(r.Now, a.Kind, other.Kind, load).Mean
		}
	}
	for _, other := range c.Added {
		recent += r.policy.learned.pairs.Estimate(r.Now, a.Kind, other.Kind, load).Mean
	}
	return target * math.Exp(recent)
}

// pairCost returns the cost of placing a task beside one task of the given kind.
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

// expectedSlowdown returns the log slowdown to score a pair with. With exploration,
// an uncertain pair scores worse beside a service near its target, and better far
// from the target so that the pair is tried there.
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
