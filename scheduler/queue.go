package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// queue returns pending tasks by tier. Within a tier the team that uses the
// smallest share of its quota comes first, and its tasks come oldest first.
type queue struct {
	round *Round
	tiers [4]map[string][]*Task
	heaps [4]teamHeap
}

// Tiers of the queue, highest priority first.
const (
	tierUrgent = iota
	tierService
	tierAged
	tierOrdinary
)

// newQueue groups tasks by tier and team.
func newQueue(r *Round, pending []Task) *queue {
	q := &queue{round: r}
	for i := range pending {
		t := &pending[i]
		tier := r.tier(t)
		if q.tiers[tier] == nil {
			q.tiers[tier] = map[string][]*Task{}
		}
		q.tiers[tier][r.queueKey(t)] = append(q.tiers[tier][r.queueKey(t)], t)
	}
	for tier, teams := range q.tiers {
		for team, tasks := range teams {
			slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.PendingSince, b.PendingSince) })
			q.heaps[tier] = append(q.heaps[tier], teamRank{team: team, share: r.quotaShare(team), since: tasks[0].PendingSince})
		}
		heap.Init(&q.heaps[tier])
	}
	return q
}

// next removes and returns the first task, or nil if none is left.
func (q *queue) next() *Task {
	for tier := range q.heaps {
		h := &q.heaps[tier]
		for h.Len() > 0 {
			first := (*h)[0]
			tasks := q.tiers[tier][first.team]
			if len(tasks) == 0 {
				heap.Pop(h)
				continue
			}
			if share := q.round.quotaShare(first.team); share != first.share {
				(*h)[0].share = share
				heap.Fix(h, 0)
				continue
			}
			q.tiers[tier][first.team] = tasks[1:]
			return tasks[0]
		}
	}
	return nil
}

// tier returns the tier of a task, from tierUrgent to tierOrdinary.
func (r *Round) tier(t *Task) int {
	rules := r.policy.config.Rules
	if !rules.Has(RulePriority) {
		return tierOrdinary
	}
	switch {
	case t.Urgent:
		return tierUrgent
	case t.Service:
		return tierService
	case rules.Has(RuleAgeing) && r.age(t) >= r.policy.config.AgeLimit:
		return tierAged
	}
	return tierOrdinary
}

// age returns how long a task has waited since its record was read.
func (r *Round) age(t *Task) time.Duration { return r.Now - t.PendingSince }

// queueKey returns the queue of a task within its tier: its team, or one queue for
// all tasks when RuleQuota is off.
func (r *Round) queueKey(t *Task) string {
	if !r.policy.config.Rules.Has(RuleQuota) {
		return ""
	}
	return t.Team
}

// quotaShare returns the share of its quota that a team uses, or 0 when RuleQuota
// is off.
func (r *Round) quotaShare(team string) float64 {
	if !r.policy.config.Rules.Has(RuleQuota) {
		return 0
	}
	return dominantShare(r.teamUsage(team), r.Snapshot.teams[team].Quota)
}
