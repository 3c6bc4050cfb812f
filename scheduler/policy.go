package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Policy makes the decisions for one cell. It keeps what it has learned, its
// reservations and its hysteresis; the state of the cell is passed in with each
// call.
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

// New returns a policy. The cells of one process may share the learned state if
// they are used by one goroutine at a time.
func New(config Config, learned *LearnedState, random *rand.Rand) *Policy {
	p := &Policy{
		config: config, learned: learned, random: random,
		reservations: map[string]reservation{}, sentLoads: map[CellID]sentLoad{}, firstSeen: map[string]time.Duration{},
		hysteresis: map[string]*targetHysteresis{},
	}
	p.plugins = rulePlugins(config.Rules)
	return p
}

// Place returns placements of pending tasks, and the reasons why the others wait.
func (p *Policy) Place(now time.Duration, s *Snapshot, pending []Task) Plan {
	r := p.newRound(now, s)
	if phase := s.dataCentre.Phase; phase == Draining || phase == OutOfService {
		r.redirectPending(pending)
		return r.Plan
	}
	p.recordArrivals(now, s, pending)
	placed := r.placeReserved(pending)
	q := newQueue(r, pending)
	urgentReserved := !p.config.Rules.Has(RuleReserve)
	for t := q.next(); t != nil; t = q.next() {
		if !urgentReserved && !t.Urgent && !t.Service {
			urgentReserved = true
			r.reserveForUrgent()
		}
		if !placed[t.ID] {
			r.placeTask(t)
		}
	}
	return r.Plan
}

// recordArrivals records when this cell first saw each pending task, and adds new
// urgent tasks to the urgent demand.
func (p *Policy) recordArrivals(now time.Duration, s *Snapshot, pending []Task) {
	firstSeen := make(map[string]time.Duration, len(pending))
	for i := range pending {
		first, known := p.firstSeen[pending[i].ID]
		if !known {
			first = now
			if pending[i].Urgent {
				p.urgentDemand.observeArrival(now, p.need(s, &pending[i]))
			}
		}
		firstSeen[pending[i].ID] = first
	}
	p.firstSeen = firstSeen
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

// ObserveUsage takes the usage reports of one worker. A report was measured beside
// the task kinds that it names, and must be passed in only once.
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

// ForgetJob drops the state of a job that was cancelled or is complete.
func (p *Policy) ForgetJob(job string) {
	p.learned.forgetJob(job)
}
