package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/settings"
)

// countingPeer is a peer that counts the summary requests to it.
type countingPeer struct {
	peerpb.Peer
	mu    *sync.Mutex
	polls map[string]int
	vm    string
}

func (p *countingPeer) Summary(context.Context, *peerpb.SummaryRequest) (*peerpb.SummaryResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[p.vm]++
	return &peerpb.SummaryResponse{Vm: p.vm, Version: 1}, nil
}

// Guards against a polling load that grows with the square of the number of entry
// VMs, against a peer that is never polled, and against a peer that counts as
// unreachable between two polls.
func TestPollPeers(t *testing.T) {
	for far, rounds := range map[int]int{5: 1, 25: 3} {
		t.Run(fmt.Sprint(far), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			polls := make(map[string]int)
			n := &Node{settings: settings.Entry{VM: "a", DataCentre: "giza"}, clock: func() time.Duration { return time.Second }}
			n.settings.Times.PeerTimeout = 10 * time.Second
			for i := range far + 1 {
				address := peer.Address{VM: fmt.Sprint(i), DataCentre: "maadi"}
				if i == 0 {
					address.DataCentre = "giza"
				}
				server := httptest.NewServer(peerpb.NewPeerServer(&countingPeer{mu: &mu, polls: polls, vm: address.VM}))
				t.Cleanup(server.Close)
				address.HostPort = server.Listener.Addr().String()
				n.peers = append(n.peers, &peerState{client: peer.NewClient(address, http.DefaultTransport)})
			}
			n.setPollRounds()
			for range rounds {
				n.pollPeers(t.Context())
				n.background.Wait()
			}
			is.Equal(len(polls), far+1)
			for vm, count := range polls {
				want := 1
				if vm == "0" {
					want = rounds
				}
				is.Equal(count, want)
			}
			for _, p := range n.peers {
				_, ok := p.recentSummary(time.Second + time.Duration(p.roundsPerPoll)*peerPollInterval)
				is.True(ok)
			}
		})
	}
}
