package scheduler

import (
	"fmt"
	"math"
	"time"
)

const (
	// overTime is how long a service must be over its target before a step:
	// one report can be noise.
	overTime = 2 * time.Second
	// calmFactor times the escalation delay is how long services must be
	// clearly under their targets before a throttle is lifted.
	calmFactor = 2
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

// relieve escalates against work that slows services over their targets, one
// step a worker and delay, and lifts throttles when the services are calm.
func (p *Policy) relieve(now time.Duration, s *Snapshot) []Action {
	var actions []Action
	enter := 1 + 0.2*(weight(s.weights.Evictions)-weight(s.weights.TailLatency))
	for i := range s.size {
		w := s.At(i)
		hot, throttled := worstService(w)
		if hot == nil && !throttled {
			delete(p.pressure, w.ID)
			continue
		}
		if action, ok := p.relieveWorker(now, w, hot, enter); ok {
			actions = append(actions, action)
		}
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

// relieveWorker returns the step for one worker, if one is due.
func (p *Policy) relieveWorker(now time.Duration, w *Worker, hot *Attempt, enter float64) (Action, bool) {
	state := p.pressure[w.ID]
	if state == nil {
		state = &pressure{lastStep: -p.config.EscalationDelay}
		p.pressure[w.ID] = state
	}
	worst := 0.0
	if hot != nil {
		worst = hot.TargetRatio
	}
	state.update(now, worst, enter, leaveRatio)
	if now-state.lastStep < p.config.EscalationDelay {
		return Action{}, false
	}
	var action Action
	ok := false
	switch {
	case state.over && now-state.overSince >= overTime:
		action, ok = p.escalate(now, w, hot)
	case state.calm && now-state.calmSince >= calmFactor*p.config.EscalationDelay:
		action, ok = lift(w)
	}
	if ok {
		state.lastStep = now
		action.Worker, action.Boot = w.ID, w.Boot
	}
	return action, ok
}

// escalate returns the next step against the attempt that is estimated to slow
// the service most.
func (p *Policy) escalate(now time.Duration, w *Worker, hot *Attempt) (Action, bool) {
	var culprit *Attempt
	most := helps
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.Service || a.Urgent || a.Stopping || a.Cancelled || (p.spared(a) && a.share() <= lastShare) {
			continue
		}
		if harm := p.harmOf(now, w, hot, a); harm > most {
			culprit, most = a, harm
		}
	}
	if culprit == nil {
		return Action{}, false
	}
	ratio := fmt.Sprintf("service %s is at %.2f of its p99 target", hot.Job, hot.TargetRatio)
	switch {
	case culprit.share() > firstShare:
		return Action{Kind: Throttle, ID: culprit.ID, Share: firstShare, Reason: "throttled: " + ratio}, true
	case culprit.share() > lastShare:
		return Action{Kind: Throttle, ID: culprit.ID, Share: lastShare, Reason: "throttled: " + ratio}, true
	case hot.TargetRatio > evictRatio:
		return Action{Kind: Evict, ID: culprit.ID, Reason: "evicted: " + ratio}, true
	}
	return Action{Kind: Move, ID: culprit.ID, Reason: "moved: " + ratio}, true
}

// harmOf returns the log slowdown that an attempt is estimated to add to a
// service, as far as its throttle leaves it. Uncertain pairs count less.
func (p *Policy) harmOf(now time.Duration, w *Worker, hot, a *Attempt) float64 {
	e := p.knowledge.pairs.Estimate(now, hot.Kind, a.Kind, w.Load)
	return (e.Mean - math.Sqrt(e.Variance)/8) * a.share()
}

// lift raises the share of one throttled attempt.
func lift(w *Worker) (Action, bool) {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.share() < 1 && !a.Stopping && !a.Cancelled {
			return Action{Kind: Throttle, ID: a.ID, Share: min(1, 2*a.share()), Reason: "throttle eased: services are under their targets"}, true
		}
	}
	return Action{}, false
}
