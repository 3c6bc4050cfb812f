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
	// drainShare is the share of the drain time in which all moves are begun.
	drainShare = 0.6
)

// drainState counts the moves of one drain.
type drainState struct {
	since time.Duration
	total int
	begun int
}

// running is an attempt with its worker.
type running struct {
	worker  *Worker
	attempt *Attempt
}

// drain empties a data centre that was taken out. Work that ends in time stays;
// the rest moves at an even rate, so that the other cells are not flooded.
func (p *Policy) drain(now time.Duration, s *Snapshot) []Action {
	dc := s.dataCentre
	left := dc.Deadline - drainMargin - now
	if dc.Phase == Out || left <= 0 {
		return p.evictAll(s, "the drain time of data centre "+s.cell.DataCentre+" is over")
	}
	if !p.config.Rules.Has(RuleDrain) {
		return nil
	}
	moves, gone := p.splitDrain(s, left)
	due := min(p.drainDue(now, dc, len(moves)+gone), len(moves))
	actions := make([]Action, 0, due)
	for _, m := range moves[:due] {
		actions = append(actions, p.drainMove(now, s, m))
	}
	p.draining.begun += due
	return actions
}

// drainDue returns how many more moves must begin by now out of the attempts
// that are present.
func (p *Policy) drainDue(now time.Duration, dc DataCentre, present int) int {
	if p.draining.since != dc.Since || p.draining.total == 0 {
		p.draining = drainState{since: dc.Since, total: present}
	}
	window := drainShare * float64(dc.Deadline-drainMargin-dc.Since)
	passed := float64(now-dc.Since) / window
	if passed >= 1 {
		return present
	}
	return max(0, int(passed*float64(p.draining.total))+1-p.draining.begun)
}

// splitDrain returns the attempts that do not end in time in order of
// priority and then of checkpoint cost, highest first; gone counts those that
// are being moved.
func (p *Policy) splitDrain(s *Snapshot, left time.Duration) (moves []running, gone int) {
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			switch {
			case a.Cancelled:
				continue
			case a.Stopping:
				gone++
			case !a.Service && (p.spared(a) || p.remaining(a)+drainMargin < left):

			default:
				moves = append(moves, running{w, a})
			}
		}
	}
	slices.SortStableFunc(moves, func(a, b running) int {
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
func (p *Policy) drainMove(now time.Duration, s *Snapshot, m running) Action {
	action := Action{Kind: Move, ID: m.attempt.ID, Worker: m.worker.ID, Boot: m.worker.Boot}
	action.Reason = fmt.Sprintf("moved: data centre %s is being drained", s.cell.DataCentre)
	if to, ok := p.chooseCell(now, s, load{
		job: m.attempt.Job, service: m.attempt.Service, urgent: m.attempt.Urgent, need: m.attempt.Requests,
	}); ok {
		action.To = &to
	}
	return action
}

// evictAll evicts every attempt.
func (p *Policy) evictAll(s *Snapshot, reason string) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			if a := &w.Attempts[j]; !a.Stopping && !a.Cancelled {
				actions = append(actions, Action{Kind: Evict, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "evicted: " + reason})
			}
		}
	}
	return actions
}
