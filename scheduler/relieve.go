package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/api"
)

const (
	// overTime is how long a service must be over its target before a step:
	// one report can be noise.
	overTime = 2 * time.Second
	// calmFactor times the escalation delay is how long services must be
	// clearly under their targets before a throttle is lifted.
	calmFactor = 2
	// farOver is the ratio from which no second report is awaited.
	farOver = 1.3
	// leaveRatio is the ratio of p99 to target below which services are calm.
	leaveRatio = 0.8
	// firstShare and lastShare are the steps of throttling.
	firstShare = 0.5
	lastShare  = 0.25
	// evictRatio is the ratio of p99 to target from which work that can't be
	// throttled further is evicted instead of moved.
	evictRatio = 2
	// helps is the least predicted fall of the log slowdown that justifies a
	// step against an attempt.
	helps = 0.03
)

// enterRatio returns the ratio of p99 to target from which a service counts as
// over it: a bit under the target if tail latency weighs most.
func enterRatio(w api.WeightsSpec) float64 {
	return 1 + 0.05*(weight(w.Evictions)-weight(w.TailLatency))
}

// goalRatio returns the ratio that a round of throttling aims at.
func goalRatio(w api.WeightsSpec) float64 {
	return 0.95 + 0.05*(weight(w.Throughput)-weight(w.TailLatency))
}

// moveRatio returns the ratio from which work that can't be throttled further
// is moved: the more evictions weigh, the higher.
func moveRatio(w api.WeightsSpec) float64 {
	return 1 + 0.4*weight(w.Evictions)
}

// relieve escalates against work that slows services over their targets, with a
// delay between steps on a worker, and lifts throttles when the services are calm.
func (p *Policy) relieve(now time.Duration, s *Snapshot) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		hot, throttled := worstService(w)
		if hot == nil && !throttled {
			delete(p.pressure, w.ID)
			continue
		}
		actions = append(actions, p.relieveWorker(now, s.weights, w, hot)...)
	}
	return actions
}

// worstService returns the service attempt furthest over its target, and
// whether any attempt is throttled.
func worstService(w *Worker) (worst *Attempt, throttled bool) {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		throttled = throttled || (a.share() < 1 && !a.Stopping)
		if a.Service && a.TargetRatio > 0 && (worst == nil || a.TargetRatio > worst.TargetRatio) {
			worst = a
		}
	}
	return worst, throttled
}

// relieveWorker returns the steps for one worker, if they are due.
func (p *Policy) relieveWorker(now time.Duration, weights api.WeightsSpec, w *Worker, hot *Attempt) []Action {
	state := p.pressure[w.ID]
	if state == nil {
		state = &pressure{lastStep: -p.config.EscalationDelay}
		p.pressure[w.ID] = state
	}
	worst := 0.0
	if hot != nil {
		worst = hot.TargetRatio
	}
	state.update(now, worst, enterRatio(weights), leaveRatio)
	if now-state.lastStep < p.config.EscalationDelay {
		return nil
	}
	var actions []Action
	switch {
	case state.over && (worst > farOver || now-state.overSince >= overTime):
		actions = p.escalate(now, weights, w, hot)
	case state.calm && now-state.calmSince >= calmFactor*p.config.EscalationDelay:
		actions = lift(w)
	}
	if len(actions) > 0 {
		state.lastStep = now
	}
	for i := range actions {
		actions[i].Worker, actions[i].Boot = w.ID, w.Boot
	}
	return actions
}

// urgency returns 1 for urgent attempts and 0 for others.
func urgency(a *Attempt) int {
	if a.Urgent {
		return 1
	}
	return 0
}

// culprits returns the attempts that slow a service down, worst first and
// urgent ones last.
func (p *Policy) culprits(now time.Duration, w *Worker, hot *Attempt) []culprit {
	var list []culprit
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.Service || a.Stopping || a.Cancelled {
			continue
		}
		if harm := p.harmOf(now, w, hot, a); harm > helps {
			list = append(list, culprit{a, harm})
		}
	}
	slices.SortStableFunc(list, func(a, b culprit) int {
		if a.attempt.Urgent != b.attempt.Urgent {
			return cmp.Compare(urgency(a.attempt), urgency(b.attempt))
		}
		return cmp.Compare(b.harm, a.harm)
	})
	return list
}

// escalate throttles as many of the worst attempts as are estimated to bring
// the service under its target. When none can be throttled further, the worst
// one that is not nearly done is moved or evicted.
func (p *Policy) escalate(now time.Duration, weights api.WeightsSpec, w *Worker, hot *Attempt) []Action {
	ratio := fmt.Sprintf("service %s is at %.2f of its p99 target", nameOf(hot.Job), hot.TargetRatio)
	excess := math.Log(hot.TargetRatio / goalRatio(weights))
	list := p.culprits(now, w, hot)
	var actions []Action
	for _, c := range list {
		if excess <= 0 {
			break
		}
		share := firstShare
		if c.attempt.share() <= firstShare {
			share = lastShare
		}
		if c.attempt.share() <= lastShare || (c.attempt.Urgent && c.attempt.share() <= firstShare) {
			continue
		}
		excess -= c.harm * (1 - share/c.attempt.share())
		actions = append(actions, Action{Kind: Throttle, ID: c.attempt.ID, Share: share, Reason: "throttled: " + ratio})
	}
	if len(actions) > 0 {
		return actions
	}
	if hot.TargetRatio < moveRatio(weights) {
		return nil
	}
	for _, c := range list {
		switch {
		case p.spared(c.attempt), c.attempt.Urgent:
		case hot.TargetRatio > evictRatio:
			return []Action{{Kind: Evict, ID: c.attempt.ID, Reason: "evicted: " + ratio}}
		default:
			return []Action{{Kind: Move, ID: c.attempt.ID, Reason: "moved: " + ratio}}
		}
	}
	return nil
}

// harmOf returns the log slowdown that an attempt is estimated to add to a
// service, as far as its throttle leaves it. Uncertain pairs count less.
func (p *Policy) harmOf(now time.Duration, w *Worker, hot, a *Attempt) float64 {
	e := p.knowledge.pairs.Estimate(now, hot.Kind, a.Kind, w.Load)
	return (e.Mean - math.Sqrt(e.Variance)/8) * a.share()
}

// lift raises the share of one throttled attempt.
func lift(w *Worker) []Action {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.share() < 1 && !a.Stopping && !a.Cancelled {
			return []Action{{Kind: Throttle, ID: a.ID, Share: min(1, 2*a.share()), Reason: "throttle eased: services are under their targets"}}
		}
	}
	return nil
}
