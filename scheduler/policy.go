package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// Policy decides for one cell. It holds what it has learned and the state of
// its hysteresis; the state of the cell comes in with each call.
type Policy struct {
	config    Config
	knowledge *Knowledge
	random    *rand.Rand
}

// New returns a policy. Cells of one process may share the knowledge if they
// are used by one goroutine at a time.
func New(config Config, knowledge *Knowledge, random *rand.Rand) *Policy {
	return &Policy{config: config, knowledge: knowledge, random: random}
}

// Place returns placements of pending tasks and the reasons of the rest.
func (p *Policy) Place(now time.Duration, s *Snapshot, pending []Task) Plan {
	_ = now
	return p.placeAll(s, pending)
}

// Act returns actions on running attempts.
func (p *Policy) Act(now time.Duration, s *Snapshot) []Action {
	_ = now
	return stopCancelled(s)
}

// ObserveUsage takes the usage reports of one worker. Each report belongs to
// the colocation that it names.
func (p *Policy) ObserveUsage(now time.Duration, w *Worker, reports []platform.Usage) {
	p.knowledge.observeUsage(now, w, reports)
}

// ObserveOutcome takes the end of an attempt. The same outcome must not be
// passed in twice.
func (p *Policy) ObserveOutcome(now time.Duration, o Outcome) {
	p.knowledge.observeOutcome(now, o)
}

// ForgetJob drops what is kept for a job that was cancelled or is complete.
func (p *Policy) ForgetJob(job string) {
	p.knowledge.forgetJob(job)
}
