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
	// overTargetDelay is how long a service must be over its target before an
	// escalation step: one report can be noise.
	overTargetDelay = 2 * time.Second
	// underTargetFactor times the escalation delay is how long services must be
	// clearly under their targets before a throttle is lifted.
	underTargetFactor = 2
	// farOverRatio is the ratio of p99 to target above which a step doesn't wait for
	// overTargetDelay.
	farOverRatio = 1.3
	// underTargetRatio is the ratio of p99 to target below which services are clearly
	// under their targets.
	underTargetRatio = 0.8
	// firstThrottleShare and lastThrottleShare are the processor shares of the two
	// throttling steps.
	firstThrottleShare = 0.5
	lastThrottleShare  = 0.25
	// evictRatio is the ratio of p99 to target above which work that can't be
	// throttled further is evicted instead of moved.
	evictRatio = 2
	// minSlowdown is the log slowdown above which an attempt is throttled, moved or
	// evicted: a smaller gain doesn't justify the step.
	minSlowdown = 0.03
)

// overTargetRatio returns the ratio of p99 to target above which a service counts
// as over its target. It is slightly below 1 if tail latency weighs more than
// evictions.
func overTargetRatio(w api.WeightsSpec) float64 {
	return 1 + 0.05*(weightFactor(w.Evictions)-weightFactor(w.TailLatency))
}

// goalRatio returns the ratio of p99 to target that a throttling step aims for.
func goalRatio(w api.WeightsSpec) float64 {
	return 0.95 + 0.05*(weightFactor(w.Throughput)-weightFactor(w.TailLatency))
}

// moveRatio returns the ratio of p99 to target from which work that can't be
// throttled further is moved. It is higher the more evictions weigh.
func moveRatio(w api.WeightsSpec) float64 {
	return 1 + 0.4*weightFactor(w.Evictions)
}

// mitigateInterference escalates against work that slows services down to over
// their targets, with a delay between steps on a worker, and eases throttles when
// the services are clearly under their targets.
func (p *Policy) mitigateInterference(now time.Duration, s *Snapshot) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		service, throttled := worstService(w)
		if service == nil && !throttled {
			delete(p.hysteresis, w.ID)
			continue
		}
		actions = append(actions, p.mitigateWorker(now, s.weights, w, service)...)
	}
	return actions
}

// worstService returns the service attempt with the highest ratio of p99 to
// target, and whether any attempt is throttled.
func worstService(w *Worker) (worst *Attempt, throttled bool) {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		throttled = throttled || (a.cpuShare() < 1 && !a.Stopping)
		if a.Service && a.TargetRatio > 0 && (worst == nil || a.TargetRatio > worst.TargetRatio) {
			worst = a
		}
	}
	return worst, throttled
}

// mitigateWorker returns the escalation steps that are due on one worker.
func (p *Policy) mitigateWorker(now time.Duration, weights api.WeightsSpec, w *Worker, service *Attempt) []Action {
	state := p.hysteresis[w.ID]
	if state == nil {
		state = &targetHysteresis{lastStep: -p.config.EscalationDelay}
		p.hysteresis[w.ID] = state
	}
	worstRatio := 0.0
	if service != nil {
		worstRatio = service.TargetRatio
	}
	state.update(now, worstRatio, overTargetRatio(weights), underTargetRatio)
	if now-state.lastStep < p.config.EscalationDelay {
		return nil
	}
	var actions []Action
	switch {
	case state.over && (worstRatio > farOverRatio || now-state.overSince >= overTargetDelay):
		actions = p.escalate(now, weights, w, service)
	case state.under && now-state.underSince >= underTargetFactor*p.config.EscalationDelay:
		actions = easeThrottle(w)
	}
	if len(actions) > 0 {
		state.lastStep = now
	}
	for i := range actions {
		actions[i].Worker, actions[i].Boot = w.ID, w.Boot
	}
	return actions
}

// urgentOrder is the sort key that puts urgent attempts last.
func urgentOrder(a *Attempt) int {
	if a.Urgent {
		return 1
	}
	return 0
}

// aggressors returns the batch attempts that slow a service down: urgent ones last,
// and otherwise those that add the most slowdown first.
func (p *Policy) aggressors(now time.Duration, w *Worker, service *Attempt) []aggressor {
	var list []aggressor
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.Service || a.Stopping || a.Cancelled {
			continue
		}
		if slowdown := p.addedSlowdown(now, w, service, a); slowdown > minSlowdown {
			list = append(list, aggressor{a, slowdown})
		}
	}
	slices.SortStableFunc(list, func(a, b aggressor) int {
		if a.attempt.Urgent != b.attempt.Urgent {
			return cmp.Compare(urgentOrder(a.attempt), urgentOrder(b.attempt))
		}
		return cmp.Compare(b.slowdown, a.slowdown)
	})
	return list
}

// escalate throttles as many of the worst aggressors as are estimated to bring the
// service under its target. When none can be throttled further, it moves or evicts
// the worst one that is neither urgent nor nearly done.
func (p *Policy) escalate(now time.Duration, weights api.WeightsSpec, w *Worker, service *Attempt) []Action {
	ratio := fmt.Sprintf("service %s is at %.2f of its p99 target", jobName(service.Job), service.TargetRatio)
	excess := math.Log(service.TargetRatio / goalRatio(weights))
	list := p.aggressors(now, w, service)
	var actions []Action
	for _, c := range list {
		if excess <= 0 {
			break
		}
		share := firstThrottleShare
		if c.attempt.cpuShare() <= firstThrottleShare {
			share = lastThrottleShare
		}
		if c.attempt.cpuShare() <= lastThrottleShare || (c.attempt.Urgent && c.attempt.cpuShare() <= firstThrottleShare) {
			continue
		}
		excess -= c.slowdown * (1 - share/c.attempt.cpuShare())
		actions = append(actions, Action{Kind: Throttle, ID: c.attempt.ID, Share: share, Reason: "throttled: " + ratio})
	}
	if len(actions) > 0 {
		return actions
	}
	if service.TargetRatio < moveRatio(weights) {
		return nil
	}
	for _, c := range list {
		switch {
		case p.nearlyDone(c.attempt), c.attempt.Urgent:
		case service.TargetRatio > evictRatio:
			return []Action{{Kind: Evict, ID: c.attempt.ID, Reason: "evicted: " + ratio}}
		default:
			return []Action{{Kind: Move, ID: c.attempt.ID, Reason: "moved: " + ratio}}
		}
	}
	return nil
}

// addedSlowdown returns the log slowdown that an attempt is estimated to add to a
// service at its present throttle. Uncertain pairs count less.
func (p *Policy) addedSlowdown(now time.Duration, w *Worker, service, a *Attempt) float64 {
	e := p.learned.pairs.Estimate(now, service.Kind, a.Kind, w.Load)
	return (e.Mean - math.Sqrt(e.Variance)/8) * a.cpuShare()
}

// easeThrottle doubles the processor share of one throttled attempt.
func easeThrottle(w *Worker) []Action {
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.cpuShare() < 1 && !a.Stopping && !a.Cancelled {
			return []Action{{Kind: Throttle, ID: a.ID, Share: min(1, 2*a.cpuShare()), Reason: "throttle eased: services are under their targets"}}
		}
	}
	return nil
}
