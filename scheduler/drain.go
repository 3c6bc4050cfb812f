package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// drainMargin is the part of the drain time kept for stops and their reports.
	drainMargin = 10 * time.Second
	// forcedEvictionMargin is the part of the drain time in which even work that is nearly
	// done is evicted.
	forcedEvictionMargin = 3 * time.Second
	// drainMoveShare is the share of the drain time in which all moves are begun.
	drainMoveShare = 0.6
	// forcedMoveTime is the time before the end in which batch work moves even if no
	// other cell shows room. Until then it does more work where it is.
	forcedMoveTime = 20 * time.Second
)

// drain empties a data centre that was taken out. Work that ends in time stays;
// the rest moves at an even rate to cells with room, so that they are not
// flooded.
func (p *Policy) drain(now time.Duration, s *Snapshot) []Action {
	dc := s.dataCentre
	left := dc.Deadline - drainMargin - now
	if dc.Phase == OutOfService || left <= 0 {
		spare := dc.Phase == Draining && left > forcedEvictionMargin-drainMargin
		return p.evictAll(s, spare, "the drain time of data centre "+s.cell.DataCentre+" is over")
	}
	if !p.config.Rules.Has(RuleDrain) {
		return nil
	}
	moves, gone := p.attemptsToDrain(s, left)
	due := min(p.drainMovesDue(now, dc, len(moves)+gone), len(moves))
	late := left <= forcedMoveTime
	actions := make([]Action, 0, due)
	for _, m := range moves[:due] {
		action := p.drainMove(now, s, m)
		if action.To != nil || late || m.attempt.Service {
			actions = append(actions, action)
		}
	}
	p.drainProgress.started += len(actions)
	return actions
}

// drainMovesDue returns how many more moves must begin by now out of the attempts
// that are present.
func (p *Policy) drainMovesDue(now time.Duration, dc DataCentre, present int) int {
	if p.drainProgress.since != dc.Since || p.drainProgress.total == 0 {
		p.drainProgress = drainState{since: dc.Since, total: present}
	}
	window := drainMoveShare * float64(dc.Deadline-drainMargin-dc.Since)
	passed := float64(now-dc.Since) / window
	if passed >= 1 {
		return present
	}
	return max(0, int(passed*float64(p.drainProgress.total))+1-p.drainProgress.started)
}

// attemptsToDrain returns the attempts that do not end in time in order of
// priority and then of checkpoint cost, highest first; gone counts those that
// are being moved.
func (p *Policy) attemptsToDrain(s *Snapshot, left time.Duration) (moves []runningAttempt, gone int) {
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			switch {
			case a.Cancelled:
				continue
			case a.Stopping:
				gone++
			case !a.Service && (p.nearlyDone(a) || p.remainingRunTime(a)+drainMargin < left):

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
	return moves, gone
}

// drainRank orders attempts for a drain: urgent work, services, other work.
func drainRank(a *Attempt) int {
	switch {
	case a.Urgent:
		return tierUrgent
	case a.Service:
		return tierService
	}
	return tierOrdinary
}

// drainMove returns the move of one attempt.
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

// evictAll evicts every attempt, except for those that are nearly done if these
// are spared.
func (p *Policy) evictAll(s *Snapshot, spare bool, reason string) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			if a := &w.Attempts[j]; !a.Stopping && !a.Cancelled && (!spare || !p.nearlyDone(a)) {
				actions = append(actions, Action{Kind: Evict, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "evicted: " + reason})
			}
		}
	}
	return actions
}
