package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// startUntilAfter processes an event and returns the end of the start authority.
func startUntilAfter(m *Machine, now time.Duration, ev Event) time.Duration {
	m.Step(now, ev)
	return m.StartUntil()
}

func hasAction[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// Guards against counting a node as fresh before it has applied the records up
// to the head that it has observed: one of them could take a data centre out of
// service.
func TestFreshOnlyAfterApplying(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	actions := m.Step(time.Second, DirectRead{SentAt: time.Second, Head: 3})
	is.True(hasAction[FetchFrom](actions))
	is.Equal(m.StartUntil(), time.Duration(0))
	is.Equal(startUntilAfter(m, 2*time.Second, Applied{Offset: 2}), time.Duration(0))
	is.Equal(startUntilAfter(m, 2*time.Second, Applied{Offset: 3}), 3*time.Second)
	// A newer head that is not applied does not extend the authority.
	is.Equal(startUntilAfter(m, 2500*time.Millisecond, DirectRead{SentAt: 2 * time.Second, Head: 4}), 3*time.Second)
	// A delayed answer does not shorten it.
	is.Equal(startUntilAfter(m, 2500*time.Millisecond, DirectRead{SentAt: time.Second / 2, Head: 3}), 3*time.Second)
	is.Equal(startUntilAfter(m, 2600*time.Millisecond, Applied{Offset: 4}), 4*time.Second)
}

// Guards against accepting a peer's report for longer than its age, the round trip
// and the clock drift allow.
func TestPeerReportAgeCountsFromRequest(t *testing.T) {
	is := is.New(t)
	peer, m := New(DefaultConfig()), New(DefaultConfig())
	peer.Step(0, DirectRead{SentAt: 0, Head: 5})
	_, ok := peer.Report(time.Second)
	is.True(!ok) // the peer has not applied the head that it observed
	peer.Step(0, Applied{Offset: 5})
	report, ok := peer.Report(time.Second)
	is.True(ok)
	is.Equal(report, Report{Head: 5, Age: time.Second})
	m.Step(10*time.Second, Applied{Offset: 5})
	asked := 10 * time.Second
	got := startUntilAfter(m, 10800*time.Millisecond, PeerReport{Peer: "p", AskedAt: asked, Head: report.Head, Age: report.Age})
	is.Equal(got, asked-1010*time.Millisecond-1+2*time.Second)
}

// Guards against a node that never asks its peers, or asks them more often than
// every AskEvery.
func TestAsksPeersWhenReadsAreOld(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(0, Applied{Offset: 1})
	is.True(!hasAction[AskPeers](m.Step(0, DirectRead{SentAt: 0, Head: 1})))
	is.True(!hasAction[AskPeers](m.Step(999*time.Millisecond, Tick{})))
	is.True(hasAction[AskPeers](m.Step(time.Second, Tick{})))
	is.True(!hasAction[AskPeers](m.Step(1200*time.Millisecond, Tick{})))
	is.True(hasAction[AskPeers](m.Step(1250*time.Millisecond, Tick{})))
}
