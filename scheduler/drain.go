package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// drainMargin is the time before the deadline that is kept for stops and their
	// reports.
	drainMargin = 10 * time.Second
	// forcedEvictionMargin is the time before the deadline from which even work
	// that is nearly done is evicted.
	forcedEvictionMargin = 3 * time.Second
	// drainMoveShare is the share of the drain time in which all moves are started.
	drainMoveShare = 0.6
	// forcedMoveTime is the time before the end of the drain from which batch work
	// moves even if no other cell shows free capacity. Until then it makes more
	// progress where it is.
	forcedMoveTime = 20 * time.Second
)

// drain empties a data centre that was taken out of service. Work that ends in
// time stays; the rest moves at an even rate to cells with free capacity, so that
// they are not overloaded.
func (p *Policy) drain(now time.Duration, s *Snapshot) []Action {
	dc := s.dataCentre
	remaining := dc.Deadline - drainMargin - now
	if dc.Phase == OutOfService || remaining <= 0 {
		keepNearlyDone := dc.Phase == Draining && remaining > forcedEvictionMargin-drainMargin
		return p.evictAll(s, keepNearlyDone, "the drain time of data centre "+s.cell.DataCentre+" is over")
	}
	if !p.config.Rules.Has(RuleDrain) {
		return nil
	}
	moves, moving := p.attemptsToDrain(s, remaining)
	due := min(p.drainMovesDue(now, dc, len(moves)+moving), len(moves))
	forced := remaining <= forcedMoveTime
	actions := make([]Action, 0, due)
	for _, m := range moves[:due] {
		action := p.drainMove(now, s, m)
		if action.To != nil || forced || m.attempt.Service {
			actions = append(actions, action)
		}
	}
	p.drainProgress.started += len(actions)
	return actions
}

// drainMovesDue returns how many more moves must start now, given the number of
// attempts that are still present.
func (p *Policy) drainMovesDue(now time.Duration, dc DataCentre, present int) int {
	if p.drainProgress.since != dc.Since || p.drainProgress.total == 0 {
		p.drainProgress = drainState{since: dc.Since, total: present}
	}
	window := drainMoveShare * float64(dc.Deadline-drainMargin-dc.Since)
	elapsed := float64(now-dc.Since) / window
	if elapsed >= 1 {
		return present
	}
	return max(0, int(elapsed*float64(p.drainProgress.total))+1-p.drainProgress.started)
}

// attemptsToDrain returns the attempts that do not end in the remaining time,
// ordered by priority and then by checkpoint cost, highest first. moving counts
// those that are already being moved.
func (p *Policy) attemptsToDrain(s *Snapshot, remaining time.Duration) (moves []runningAttempt, moving int) {
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			switch {
			case a.Cancelled:
				continue
			case a.Stopping:
				moving++
			case !a.Service && (p.nearlyDone(a) || p.remainingRunTime(a)+drainMargin < remaining):

			default:
				moves = append(moves, runningAttempt{w, a})
			}
		}
	}
	slices.SortStableFunc(moves, func(a, b runningAttempt) int {
		if c := cmp.Compare(drainRank(a.attempt), drainRank(b.attempt)); c != 0 {
			return c
		}
		return cmp.Compare(b.attempt.CheckpointCost, a.attempt.CheckpointCost)
	})
	return moves, moving
}

// drainRank returns the rank of an attempt in a drain: urgent work, then services,
// then other work.
func drainRank(a *Attempt) int {
	switch {
	case a.Urgent:
		return tierUrgent
	case a.Service:
		return tierService
	}
	return tierOrdinary
}

// drainMove returns the Move action for one attempt, with a target cell if one has
// enough free capacity.
func (p *Policy) drainMove(now time.Duration, s *Snapshot, m runningAttempt) Action {
	action := Action{Kind: Move, ID: m.attempt.ID, Worker: m.worker.ID, Boot: m.worker.Boot}
	action.Reason = fmt.Sprintf("moved: data centre %s is being drained", s.cell.DataCentre)
	if to, ok := p.chooseCell(now, s, cellRequest{
		job: m.attempt.Job, service: m.attempt.Service, urgent: m.attempt.Urgent, need: m.attempt.Requests,
	}); ok {
		action.To = &to
	}
	return action
}

// evictAll evicts every attempt, except those that are nearly done if
// keepNearlyDone is set.
func (p *Policy) evictAll(s *Snapshot, keepNearlyDone bool, reason string) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			if a := &w.Attempts[j]; !a.Stopping && !a.Cancelled && (!keepNearlyDone || !p.nearlyDone(a)) {
				actions = append(actions, Action{Kind: Evict, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "evicted: " + reason})
			}
		}
	}
	return actions
}
