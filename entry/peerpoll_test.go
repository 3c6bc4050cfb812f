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

// countingPeer counts the questions to one peer.
type countingPeer struct {
	peerpb.Peer
	mu    *sync.Mutex
	asked map[string]int
	vm    string
}

func (p *countingPeer) Summary(context.Context, *peerpb.SummaryRequest) (*peerpb.SummaryResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[p.vm]++
	return &peerpb.SummaryResponse{Vm: p.vm, Version: 1}, nil
}

// Guards against a load of questions that grows with the square of the number
// of entry VMs, against a peer that is never asked, and against a peer that
// counts as silent between two questions.
func TestPollPeers(t *testing.T) {
	for far, rounds := range map[int]int{5: 1, 25: 3} {
		t.Run(fmt.Sprint(far), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			asked := make(map[string]int)
			n := &Node{settings: settings.Entry{VM: "a", DataCentre: "giza"}, clock: func() time.Duration { return time.Second }}
			n.settings.Times.PeerTimeout = 10 * time.Second
			for i := range far + 1 {
				address := peer.Address{VM: fmt.Sprint(i), DataCentre: "maadi"}
				if i == 0 {
					address.DataCentre = "giza"
				}
				server := httptest.NewServer(peerpb.NewPeerServer(&countingPeer{mu: &mu, asked: asked, vm: address.VM}))
				t.Cleanup(server.Close)
				address.HostPort = server.Listener.Addr().String()
				n.peers = append(n.peers, &peerState{client: peer.NewClient(address, http.DefaultTransport)})
			}
			n.setRounds()
			for range rounds {
				n.pollPeers(t.Context())
				n.background.Wait()
			}
			is.Equal(len(asked), far+1)
			for vm, count := range asked {
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
