package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/gather"
	"github.com/cactusreel/cactusreel/logevent"
)

const (
	// inviteCheckInterval is how often an owner looks whether the store is slow.
	inviteCheckInterval = 40 * time.Millisecond
	// inviteTimeout is the timeout of an invitation.
	inviteTimeout = 300 * time.Millisecond
	// maxAppendLimit is the maximum time for which records of another node are tried, whatever
	// that node says.
	maxAppendLimit = 5 * time.Second
)

// senders are the nodes whose records an owner gathers while the store is slow.
type senders struct {
	mu  sync.Mutex
	all gather.Inviter
}

func (s *senders) note(address string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.Note(address, now)
}

// due returns the nodes to invite, for how long, and whether gathering begins or ends.
func (s *senders) due(now time.Duration, slow bool) (addresses []string, valid time.Duration, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.all.Inviting()
	addresses, valid = s.all.Due(now, slow)
	return addresses, valid, before != s.all.Inviting()
}

// gatherWhileSlow invites the other nodes to pass their records on while the store is slow.
func (o *ownership) gatherWhileSlow(ctx context.Context) {
	tick := time.NewTicker(inviteCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		slow := o.node.storeLatency.isSlow()
		addresses, valid, changed := o.senders.due(o.node.monotonicNow(), slow)
		fields := []zap.Field{zap.Int("cell", o.number), zap.Int64("epoch", o.epoch), zap.Int("nodes", len(addresses))}
		switch {
		case changed && slow:
			o.node.logger.Log(logevent.GatheringBegan, fields...)
		case changed:
			o.node.logger.Log(logevent.GatheringEnded, fields...)
		}
		q := &coordpb.GatherRequest{Cell: int32(o.number), Epoch: o.epoch, Address: o.node.config.PeerAddress, ValidMs: valid.Milliseconds()}
		for _, address := range addresses {
			if address != o.node.config.PeerAddress {
				go o.node.sendInvitation(address, q)
			}
		}
	}
}

func (n *Node) sendInvitation(address string, q *coordpb.GatherRequest) {
	call, cancel := context.WithTimeout(context.Background(), inviteTimeout)
	defer cancel()
	_, err := n.peers.client(address).Gather(call, q)
	n.metrics.countInvitation(err)
}

// Gather handles the invitation of an owner to pass records on to it.
func (n *Node) Gather(_ context.Context, q *coordpb.GatherRequest) (*coordpb.GatherAnswer, error) {
	if c := n.cell(q.Cell); c != nil {
		valid := min(time.Duration(q.ValidMs)*time.Millisecond, gather.InvitationTime)
		c.intakeWriter.invite(q.Address, q.Epoch, valid)
	}
	return &coordpb.GatherAnswer{}, nil
}

// Append handles records that another node passes on. A node that is not the owner, or no longer,
// appends them too: an owner that hands its cell over is still asked to.
func (n *Node) Append(ctx context.Context, q *coordpb.AppendRequest) (*coordpb.AppendAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || n.stopping.Load() && !c.owning.Load() {
		return &coordpb.AppendAnswer{Declined: true}, nil
	}
	c.senders.note(q.PeerAddress, n.monotonicNow())
	limit := min(time.Duration(q.LimitMs)*time.Millisecond, maxAppendLimit)
	n.metrics.countGathered(len(q.Records))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer := &coordpb.AppendAnswer{}
	for _, r := range c.intakeWriter.enqueue(q.Records, limit, true) {
		outcome := coordpb.AppendOutcome_APPEND_OUTCOME_UNKNOWN
		select {
		case err := <-r.result:
			outcome = appendOutcome(err)
		case <-ctx.Done():
		}
		answer.Outcomes = append(answer.Outcomes, outcome)
	}
	return answer, nil
}

func appendOutcome(err error) coordpb.AppendOutcome {
	switch {
	case err == nil || errors.Is(err, errUndecided):
		return coordpb.AppendOutcome_APPEND_OUTCOME_STORED
	case errors.Is(err, ErrIDInUse):
		return coordpb.AppendOutcome_APPEND_OUTCOME_ID_IN_USE
	case errors.Is(err, ErrUnavailable):
		return coordpb.AppendOutcome_APPEND_OUTCOME_NOT_STORED
	}
	return coordpb.AppendOutcome_APPEND_OUTCOME_UNKNOWN
}
