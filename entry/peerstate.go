package entry

import (
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// minSummaryLifetime is how long a peer's last summary counts.
const minSummaryLifetime = 3 * time.Second

// maxMissedPolls is how many rounds of questions in a row a peer may miss before
// its last summary no longer counts, if that is longer than peerSilence.
const maxMissedPolls = 3

// peerState is what this VM knows of one peer. Summaries are replaced whole.
type peerState struct {
	client *peer.Client
	// roundsPerPoll is in how many rounds of polls the peer is asked once.
	roundsPerPoll int
	latest        atomic.Pointer[receivedSummary]
}

// receivedSummary is a peer's newest summary.
type receivedSummary struct {
	summary *peerpb.SummaryResponse
	// receivedAt is when the answer arrived, on the local clock.
	receivedAt time.Duration
}

// recentSummary returns the peer's newest summary if it is recent.
func (p *peerState) recentSummary(now time.Duration) (*peerpb.SummaryResponse, bool) {
	w := p.latest.Load()
	if w == nil || now-w.receivedAt > p.summaryLifetime() {
		return nil, false
	}
	return w.summary, true
}

// summaryLifetime returns how long the peer's last summary counts.
func (p *peerState) summaryLifetime() time.Duration {
	return max(minSummaryLifetime, maxMissedPolls*peerPollInterval*time.Duration(p.roundsPerPoll))
}

// storeSummary takes a summary in. One that says "unchanged" only proves that the last
// one still holds.
func (p *peerState) storeSummary(s *peerpb.SummaryResponse, at time.Duration) {
	before := p.latest.Load()
	if s.Unchanged && before != nil {
		s = before.summary
	}
	p.latest.Store(&receivedSummary{summary: s, receivedAt: at})
}

// lastAnswerAt returns when the peer last answered, 0 if it never did.
func (p *peerState) lastAnswerAt() time.Duration {
	if w := p.latest.Load(); w != nil {
		return w.receivedAt
	}
	return 0
}

// version returns the version of the last summary, 0 if there is none.
func (p *peerState) version() uint64 {
	if w := p.latest.Load(); w != nil {
		return w.summary.Version
	}
	return 0
}
