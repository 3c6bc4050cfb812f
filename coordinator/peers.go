package coordinator

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// peerClients holds a client for each other node, by address.
type peerClients struct {
	httpClient *http.Client
	clients    sync.Map
}

func newPeerClients() *peerClients {
	return &peerClients{httpClient: &http.Client{Transport: NewTransport(peerConnections)}}
}

func (p *peerClients) client(address string) coordpb.Coordinator {
	if c, ok := p.clients.Load(address); ok {
		return c.(coordpb.Coordinator)
	}
	c, _ := p.clients.LoadOrStore(address, coordpb.NewCoordinatorProtobufClient("http://"+address, p.httpClient))
	return c.(coordpb.Coordinator)
}

// ownerQueryAttempts is the maximum number of attempts to query a cell's owner.
const ownerQueryAttempts = 3

// queryOwner sends a query to a cell's owner. If the owner is unknown or does not
// answer as the owner, it refreshes the owner cache and tries again. It returns
// false if no owner answered.
func (n *Node) queryOwner(ctx context.Context, c *cell, query func(context.Context, coordpb.Coordinator) (owner bool, err error)) bool {
	for attempt := range ownerQueryAttempts {
		if attempt > 0 {
			n.owners.refresh(ctx)
		}
		owner := n.owners.owner(c.number)
		if owner.PeerAddress != "" && owner.PeerAddress != n.config.PeerAddress {
			call, cancel := context.WithTimeout(ctx, lookupTimeout)
			answered, err := query(call, n.peers.client(owner.PeerAddress))
			cancel()
			n.metrics.countLookup(err)
			if err == nil && answered {
				return true
			}
		}
		if attempt > 0 && !sleep(ctx, lookupRetryDelay) {
			return false
		}
	}
	return false
}

// lookUpState queries the cell's owner for the state of a submission. It returns
// false if no owner answered. The submission is hidden if the caller may not see it.
func (n *Node) lookUpState(ctx context.Context, c *cell, caller Caller, id string) (state workload.State, ok, hidden bool) {
	ok = n.queryOwner(ctx, c, func(ctx context.Context, owner coordpb.Coordinator) (bool, error) {
		answer, err := owner.Lookup(ctx, &coordpb.LookupRequest{Cell: int32(c.number), Id: id, Tenant: caller.Tenant, Queue: caller.Queue})
		if err != nil {
			return false, err
		}
		state, hidden = workload.State(answer.State), answer.Owner && answer.OtherTenant
		return answer.Owner, nil
	})
	return state, ok, ok && hidden
}

// pendingCount returns the number of submissions of a queue that are in state
// Queued, from the cell's owner. It returns false if no owner answered.
func (n *Node) pendingCount(ctx context.Context, c *cell, queue string) (int, bool) {
	if c.owning.Load() {
		return c.ownPendingCount(queue)
	}
	pending := 0
	ok := n.queryOwner(ctx, c, func(ctx context.Context, owner coordpb.Coordinator) (bool, error) {
		answer, err := owner.Pending(ctx, &coordpb.PendingRequest{Cell: int32(c.number), Queue: queue})
		if err != nil {
			return false, err
		}
		pending = int(answer.Pending)
		return answer.Owner, nil
	})
	return pending, ok
}

// ownPendingCount returns the number from this node's copy, as the owner. It returns false if the copy is
// too old: the submissions that other nodes have accepted since would be missing.
func (c *cell) ownPendingCount(queue string) (int, bool) {
	if limit := c.node.config.Dispatch.MaxViewAge[dispatch.Intake]; limit > 0 && c.intakeAge() > limit {
		return 0, false
	}
	return c.ledger().Pending(queue), true
}

// Pending handles a query of another node for the number of pending submissions.
func (n *Node) Pending(_ context.Context, q *coordpb.PendingRequest) (*coordpb.PendingAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || !c.owning.Load() {
		return &coordpb.PendingAnswer{}, nil
	}
	pending, ok := c.ownPendingCount(q.Queue)
	return &coordpb.PendingAnswer{Owner: ok, Pending: int32(pending)}, nil
}

// Lookup handles a query of another node for the state of a submission. An owner
// answers Unknown only after it has read the intake to its end.
func (n *Node) Lookup(ctx context.Context, q *coordpb.LookupRequest) (*coordpb.LookupAnswer, error) {
	c := n.cellOf(q.Id)
	caller := Caller{Tenant: q.Tenant, Queue: q.Queue}
	if !c.owning.Load() {
		if c.isHidden(caller, q.Id) {
			return &coordpb.LookupAnswer{}, nil
		}
		return &coordpb.LookupAnswer{State: int32(c.localState(q.Id))}, nil
	}
	state, err := c.verifiedState(ctx, q.Id)
	if err != nil && !errors.Is(err, ErrNoSubmission) {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	if c.isHidden(caller, q.Id) {
		return &coordpb.LookupAnswer{Owner: true, OtherTenant: true}, nil
	}
	return &coordpb.LookupAnswer{Owner: true, State: int32(state)}, nil
}

// cell returns the cell with a number, or nil.
func (n *Node) cell(number int32) *cell {
	if number < 0 || int(number) >= len(n.cells) {
		return nil
	}
	return n.cells[number]
}

// PeerHandler returns a handler that serves other nodes.
func (n *Node) PeerHandler() http.Handler { return coordpb.NewCoordinatorServer(n) }
