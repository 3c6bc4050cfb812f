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

// notice is a record that was appended to an intake at an offset.
type notice struct {
	offset int64
	record []byte
}

// notifyOwner tells the cell's owner of a record without waiting for it.
func (c *cell) notifyOwner(told notice) {
	if c.owning.Load() {
		c.takeNotice(told)
		return
	}
	owner := c.owner.Load()
	if owner == nil || owner.PeerAddress == "" || owner.PeerAddress == c.node.config.PeerAddress {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_, err := c.node.peers.client(owner.PeerAddress).Notify(ctx, &coordpb.NotifyRequest{
			Cell: int32(c.number), Offset: told.offset, Record: told.record,
		})
		c.node.meters.notified(err)
	}()
}

// takeNotice queues a notice for the cell's goroutine. A notice that finds no
// room is dropped: the log tells of the record too.
func (c *cell) takeNotice(told notice) {
	select {
	case c.notices <- told:
	default:
		c.node.meters.notified(ErrUnavailable)
	}
}

// Notify takes a notice of another node.
func (n *Node) Notify(_ context.Context, q *coordpb.NotifyRequest) (*coordpb.NotifyAnswer, error) {
	if c := n.cell(q.Cell); c != nil && c.owning.Load() {
		c.takeNotice(notice{offset: q.Offset, record: q.Record})
	}
	return &coordpb.NotifyAnswer{}, nil
}

// cell returns the cell of a number, or nil.
func (n *Node) cell(number int32) *cell {
	if number < 0 || int(number) >= len(n.cells) {
		return nil
	}
	return n.cells[number]
}

// PeerHandler serves other nodes.
func (n *Node) PeerHandler() http.Handler { return coordpb.NewCoordinatorServer(n) }
