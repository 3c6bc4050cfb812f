package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/preemption"
)

const (
	// reclaimDelay, scaled by the weight of evictions, is how long a task within
	// its team's quota waits before it reclaims borrowed capacity. Most waits end
	// sooner without an eviction.
	reclaimDelay = 32 * time.Second
	// reclaimShare is the share of its quota that a team keeps when others reclaim
	// capacity. Teams just over their quotas lose nothing.
	reclaimShare = 1.5
)

// handleNoWorker handles a task that no worker can take now. It preempts other
// attempts for it if the rules allow that, names a better cell, reserves capacity
// for an aged task, or else records the reason.
func (r *Round) handleNoWorker(t *Task, need hostapi.Resources, reason string) {
	rules := r.policy.config.Rules
	if rules.Has(RulePriority) && t.Urgent && !r.policy.learned.hasFailed(t) {
		if r.preemptFor(t, need, Evict, "urgent task", r.preemptibleForUrgent) {
			return
		}
	}
	if rules.Has(RuleMove) {
		if to, ok := r.policy.betterCell(r, t, need); ok {
			r.Plan.Unplaced = append(r.Plan.Unplaced, UnplacedTask{
				Task: t.ID, MoveTo: &to, Reason: fmt.Sprintf("pending: %s; moving to cell %s", reason, to),
			})
			return
		}
	}
	if rules.Has(RuleQuota) && r.Now-r.policy.firstSeen[t.ID] >= r.reclaimAfter() && r.withinQuota(t, need) {
		if r.preemptFor(t, need, Move, "team within its quota", r.preemptibleForQuota) {
			return
		}
	}
	if rules.Has(RuleAgeing) && r.age(t) >= r.policy.config.AgeLimit && r.reserveForAgedTask(t, need) {
		return
	}
	r.recordUnplaced(t, Waiting, 0, "pending: "+reason)
}

// reclaimAfter returns how long a task waits before it reclaims capacity: the
// more evictions weigh, the longer.
func (r *Round) reclaimAfter() time.Duration {
	return time.Duration(weightFactor(r.Snapshot.weights.Evictions) * float64(reclaimDelay))
}

// withinQuota reports whether placing a task keeps its team within its quota.
func (r *Round) withinQuota(t *Task, need hostapi.Resources) bool {
	return dominantShare(r.teamUsage(t.Team).Add(need), r.Snapshot.teams[t.Team].Quota) <= 1
}

// preemptibleForUrgent reports whether an attempt may be evicted for an urgent task.
func (r *Round) preemptibleForUrgent(a *Attempt) bool { return !a.Urgent && !a.Service }

// preemptibleForQuota reports whether an attempt runs on borrowed capacity.
func (r *Round) preemptibleForQuota(a *Attempt) bool {
	if a.Urgent || a.Service {
		return false
	}
	remaining := r.teamUsage(a.Team).Sub(a.Reserved())
	return dominantShare(remaining, r.Snapshot.teams[a.Team].Quota) >= reclaimShare
}

// preemptFor selects the cheapest set of victims on a sample of workers, adds
// their evictions to the plan and reserves the capacity for the task. It reports
// whether it found victims.
func (r *Round) preemptFor(t *Task, need hostapi.Resources, kind ActionKind, requester string, preemptible func(*Attempt) bool) bool {
	size := r.Snapshot.size
	if size == 0 {
		return false
	}
	start := r.policy.random.IntN(size)
	var best victimSet
	for n := range min(size, 4*r.policy.config.SampleSize) {
		c := r.candidate((start + n) % size)
		if c.Worker.Unreachable || c.Worker.Leaving || !need.Fits(c.Worker.Capacity) || r.reject(t, &c) != "" {
			continue
		}
		set, ok := r.selectVictims(c, need, preemptible)
		if ok && (best.victims == nil || set.cost < best.cost) {
			best = set
		}
	}
	if best.victims == nil {
		return false
	}
	c := best.candidate
	for _, a := range best.victims {
		r.Plan.Actions = append(r.Plan.Actions, Action{
			Kind: kind, ID: a.ID, Worker: c.Worker.ID, Boot: c.Worker.Boot,
			Reason: fmt.Sprintf("%sd for task %s (%s)", verbStem(kind), t.ID, requester),
		})
		r.usageAdded[a.Team] = r.usageAdded[a.Team].Sub(a.Reserved())
	}
	r.policy.reservations[t.ID] = reservation{worker: c.Worker.ID, need: need, until: r.Now + reservationTimeout}
	r.root = r.root.set(size, c.position, c.Worker, c.Free.Sub(minResources(need, c.Free)))
	r.recordUnplaced(t, Waiting, 0, fmt.Sprintf("pending: evicting %d attempts on worker %s", len(best.victims), c.Worker.ID))
	return true
}

// verbStem returns the verb of a reason without the final d of its past tense.
func verbStem(kind ActionKind) string {
	if kind == Evict {
		return "evicte"
	}
	return "move"
}

// selectVictims returns a cheap set of attempts on a worker whose preemption makes
// need fit.
func (r *Round) selectVictims(c Candidate, need hostapi.Resources, preemptible func(*Attempt) bool) (victimSet, bool) {
	var eligible []*Attempt
	for i := range c.Worker.Attempts {
		a := &c.Worker.Attempts[i]
		if !a.Stopping && !a.Cancelled && preemptible(a) && !r.policy.nearlyDone(a) {
			eligible = append(eligible, a)
		}
	}
	costs := make(map[*Attempt]float64, len(eligible))
	for _, a := range eligible {
		costs[a] = r.policy.stopCost(r.Now, a)
	}
	slices.SortFunc(eligible, func(a, b *Attempt) int { return cmp.Compare(costs[a], costs[b]) })
	candidates := make([]preemption.Candidate, len(eligible))
	for i, a := range eligible {
		candidates[i] = preemption.Candidate{Frees: a.Reserved(), Cost: costs[a]}
	}
	selected, cost, ok := preemption.Select(c.Free, need, candidates)
	set := victimSet{candidate: c, cost: cost}
	for _, i := range selected {
		set.victims = append(set.victims, eligible[i])
	}
	return set, ok && len(selected) > 0
}
