package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Policy decides for one cell. It holds what it has learned and the state of
// its hysteresis; the state of the cell comes in with each call.
type Policy struct {
	config          Config
	learned         *LearnedState
	random          *rand.Rand
	plugins         plugins
	reservations    map[string]reservation
	sentLoads       map[CellID]sentLoad
	firstSeen       map[string]time.Duration
	hysteresis      map[string]*targetHysteresis
	drainProgress   drainState
	urgentDemand    urgentDemand
	agedReservation agedReservation
}

// New returns a policy. Cells of one process may share the knowledge if they
// are used by one goroutine at a time.
func New(config Config, knowledge *LearnedState, random *rand.Rand) *Policy {
	p := &Policy{
		config: config, learned: knowledge, random: random,
		reservations: map[string]reservation{}, sentLoads: map[CellID]sentLoad{}, firstSeen: map[string]time.Duration{},
		hysteresis: map[string]*targetHysteresis{},
	}
	p.plugins = rulePlugins(config.Rules)
	return p
}

// Place returns placements of pending tasks and the reasons of the rest.
func (p *Policy) Place(now time.Duration, s *Snapshot, pending []Task) Plan {
	r := p.newRound(now, s)
	if phase := s.dataCentre.Phase; phase == Draining || phase == OutOfService {
		r.redirectPending(pending)
		return r.Plan
	}
	p.recordArrivals(now, s, pending)
	placed := r.placeReserved(pending)
	q := newQueue(r, pending)
	reserved := !p.config.Rules.Has(RuleReserve)
	for t := q.next(); t != nil; t = q.next() {
		if !reserved && !t.Urgent && !t.Service {
			reserved = true
			r.reserveForUrgent()
		}
		if !placed[t.ID] {
			r.placeTask(t)
		}
	}
	return r.Plan
}

// recordArrivals keeps when each pending task was first seen by this cell, and counts the
// urgent ones.
func (p *Policy) recordArrivals(now time.Duration, s *Snapshot, pending []Task) {
	seen := make(map[string]time.Duration, len(pending))
	for i := range pending {
		first, known := p.firstSeen[pending[i].ID]
		if !known {
			first = now
			if pending[i].Urgent {
				p.urgentDemand.observeArrival(now, p.need(s, &pending[i]))
			}
		}
		seen[pending[i].ID] = first
	}
	p.firstSeen = seen
}

// Act returns actions on running attempts.
func (p *Policy) Act(now time.Duration, s *Snapshot) []Action {
	actions := stopCancelled(s)
	if s.dataCentre.Phase == Draining || s.dataCentre.Phase == OutOfService {
		return append(actions, p.drain(now, s)...)
	}
	actions = append(actions, p.moveOffLeaving(s)...)
	if p.config.Rules.Has(RuleEscalation) {
		actions = append(actions, p.mitigateInterference(now, s)...)
	}
	return actions
}

// ObserveUsage takes the usage reports of one worker. Each report belongs to
// the colocation that it names, and each is passed in once.
func (p *Policy) ObserveUsage(now time.Duration, w *Worker, reports []hostapi.Usage) {
	for i := range reports {
		if a := w.findAttempt(reports[i].ID); a != nil {
			p.learned.observeUsage(now, a, &reports[i])
		}
	}
}

// ObserveOutcome takes the end of an attempt. The same outcome must not be
// passed in twice.
func (p *Policy) ObserveOutcome(now time.Duration, o Outcome) {
	p.learned.observeOutcome(now, p.config, p.random, o)
}

// ForgetJob drops what is kept for a job that was cancelled or is complete.
func (p *Policy) ForgetJob(job string) {
	p.learned.forgetJob(job)
}
