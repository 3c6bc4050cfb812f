package coordinator

import (
	"context"
	"net/http"
	"sync"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/workload"
)

// peers keeps a client for each other node.
type peers struct {
	http    *http.Client
	clients sync.Map
}

func newPeers() *peers {
	return &peers{http: &http.Client{Transport: NewTransport(peerConnections)}}
}

func (p *peers) client(address string) coordpb.Coordinator {
	if c, ok := p.clients.Load(address); ok {
		return c.(coordpb.Coordinator)
	}
	c, _ := p.clients.LoadOrStore(address, coordpb.NewCoordinatorProtobufClient("http://"+address, p.http))
	return c.(coordpb.Coordinator)
}

// askOwner asks the cell's owner for a state. It returns false if no owner
// answered.
func (n *Node) askOwner(ctx context.Context, c *cell, id string) (workload.State, bool) {
	owner := c.owner.Load()
	if owner == nil || owner.PeerAddress == "" || owner.PeerAddress == n.config.PeerAddress {
		return workload.Unknown, false
	}
	call, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answer, err := n.peers.client(owner.PeerAddress).Lookup(call, &coordpb.LookupRequest{Cell: int32(c.number), Id: id})
	n.meters.lookedUp(err)
	if err != nil || !answer.Owner {
		return workload.Unknown, false
	}
	return workload.State(answer.State), true
}

// Lookup answers another node from this node's copy.
func (n *Node) Lookup(_ context.Context, q *coordpb.LookupRequest) (*coordpb.LookupAnswer, error) {
	c := n.cellOf(q.Id)
	return &coordpb.LookupAnswer{Owner: c.owning.Load(), State: int32(c.state(q.Id))}, nil
}

// PeerHandler serves other nodes.
func (n *Node) PeerHandler() http.Handler { return coordpb.NewCoordinatorServer(n) }
