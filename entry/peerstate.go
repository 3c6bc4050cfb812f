package entry

import (
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// peerSilence is how long a peer's last summary counts.
const peerSilence = 3 * time.Second

// peerMisses is how many rounds of questions in a row a peer may miss before
// its last summary no longer counts, if that is longer than peerSilence.
const peerMisses = 3

// peerState is what this VM knows of one peer. Summaries are replaced whole.
type peerState struct {
	client *peer.Client
	// rounds is in how many rounds of polls the peer is asked once.
	rounds  int
	current atomic.Pointer[peerWord]
}

// peerWord is a peer's newest summary.
type peerWord struct {
	summary *peerpb.SummaryResponse
	// at is when the answer arrived, on the local clock.
	at time.Duration
}

// word returns the peer's newest summary if it is recent.
func (p *peerState) word(now time.Duration) (*peerpb.SummaryResponse, bool) {
	w := p.current.Load()
	if w == nil || now-w.at > p.silence() {
		return nil, false
	}
	return w.summary, true
}

// silence returns how long the peer's last summary counts.
func (p *peerState) silence() time.Duration {
	return max(peerSilence, peerMisses*peerPoll*time.Duration(p.rounds))
}

// note takes a summary in. One that says "unchanged" only proves that the last
// one still holds.
func (p *peerState) note(s *peerpb.SummaryResponse, at time.Duration) {
	before := p.current.Load()
	if s.Unchanged && before != nil {
		s = before.summary
	}
	p.current.Store(&peerWord{summary: s, at: at})
}

// heardAt returns when the peer last answered, 0 if it never did.
func (p *peerState) heardAt() time.Duration {
	if w := p.current.Load(); w != nil {
		return w.at
	}
	return 0
}

// version returns the version of the last summary, 0 if there is none.
func (p *peerState) version() uint64 {
	if w := p.current.Load(); w != nil {
		return w.summary.Version
	}
	return 0
}
