package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func end(m *Machine, now time.Duration, ev Event) time.Duration {
	m.Step(now, ev)
	return m.StartUntil()
}

func has[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// Guards against counting a node as fresh before it has applied the records
// that it knows to exist: a take-out could be among them.
func TestFreshOnlyAfterApplying(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	actions := m.Step(time.Second, DirectRead{SentAt: time.Second, Head: 3})
	is.True(has[FetchFrom](actions))
	is.Equal(m.StartUntil(), time.Duration(0))
	is.Equal(end(m, 2*time.Second, Applied{Offset: 2}), time.Duration(0))
	is.Equal(end(m, 2*time.Second, Applied{Offset: 3}), 3*time.Second)
	// A newer head that is not applied does not extend the authority.
	is.Equal(end(m, 2500*time.Millisecond, DirectRead{SentAt: 2 * time.Second, Head: 4}), 3*time.Second)
	// A delayed answer does not shorten it.
	is.Equal(end(m, 2500*time.Millisecond, DirectRead{SentAt: time.Second / 2, Head: 3}), 3*time.Second)
	is.Equal(end(m, 2600*time.Millisecond, Applied{Offset: 4}), 4*time.Second)
}

// Guards against trusting a peer's word for longer than its age plus the round
// trip and the drift allow.
func TestPeerWordAgesFromTheQuestion(t *testing.T) {
	is := is.New(t)
	peer, m := New(DefaultConfig()), New(DefaultConfig())
	peer.Step(0, DirectRead{SentAt: 0, Head: 5})
	_, ok := peer.Report(time.Second)
	is.True(!ok) // the peer hasn't applied what it knows of
	peer.Step(0, Applied{Offset: 5})
	word, ok := peer.Report(time.Second)
	is.True(ok)
	is.Equal(word, Report{Head: 5, Age: time.Second})
	m.Step(10*time.Second, Applied{Offset: 5})
	asked := 10 * time.Second
	got := end(m, 10800*time.Millisecond, PeerReport{Peer: "p", AskedAt: asked, Head: word.Head, Age: word.Age})
	is.Equal(got, asked-1010*time.Millisecond-1+2*time.Second)
}

// Guards against a node that never asks its peers, or asks them all the time.
func TestAsksPeersWhenReadsAreOld(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(0, Applied{Offset: 1})
	is.True(!has[AskPeers](m.Step(0, DirectRead{SentAt: 0, Head: 1})))
	is.True(!has[AskPeers](m.Step(999*time.Millisecond, Tick{})))
	is.True(has[AskPeers](m.Step(time.Second, Tick{})))
	is.True(!has[AskPeers](m.Step(1200*time.Millisecond, Tick{})))
	is.True(has[AskPeers](m.Step(1250*time.Millisecond, Tick{})))
}
