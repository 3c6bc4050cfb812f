package entry

import (
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// minSummaryLifetime is the minimum time for which a peer's summary is valid after
// the peer's last answer.
const minSummaryLifetime = 3 * time.Second

// maxMissedPolls is the number of consecutive polls that a peer may leave
// unanswered before its summary becomes invalid, if that takes longer than
// minSummaryLifetime.
const maxMissedPolls = 3

// peerState is the state of one peer as this VM last received it. Summaries are
// replaced as a whole.
type peerState struct {
	client *peer.Client
	// roundsPerPoll is the number of rounds of pollPeers in which the peer is
	// polled once.
	roundsPerPoll int
	latest        atomic.Pointer[receivedSummary]
}

// receivedSummary is a peer's newest summary and the time of its last answer.
type receivedSummary struct {
	summary *peerpb.SummaryResponse
	// receivedAt is when the last answer arrived, on the local clock.
	receivedAt time.Duration
}

// recentSummary returns the peer's newest summary, and whether it is still valid.
func (p *peerState) recentSummary(now time.Duration) (*peerpb.SummaryResponse, bool) {
	latest := p.latest.Load()
	if latest == nil || now-latest.receivedAt > p.summaryLifetime() {
		return nil, false
	}
	return latest.summary, true
}

// summaryLifetime returns how long the peer's summary is valid after its last
// answer.
func (p *peerState) summaryLifetime() time.Duration {
	return max(minSummaryLifetime, maxMissedPolls*peerPollInterval*time.Duration(p.roundsPerPoll))
}

// storeSummary stores a summary that arrived at receivedAt. One that says
// "unchanged" only renews the previous one.
func (p *peerState) storeSummary(s *peerpb.SummaryResponse, receivedAt time.Duration) {
	previous := p.latest.Load()
	if s.Unchanged && previous != nil {
		s = previous.summary
	}
	p.latest.Store(&receivedSummary{summary: s, receivedAt: receivedAt})
}

// lastAnswerAt returns when the peer last answered, 0 if it never did.
func (p *peerState) lastAnswerAt() time.Duration {
	if latest := p.latest.Load(); latest != nil {
		return latest.receivedAt
	}
	return 0
}

// version returns the version of the newest summary, 0 if there is none.
func (p *peerState) version() uint64 {
	if latest := p.latest.Load(); latest != nil {
		return latest.summary.Version
	}
	return 0
}
