package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/freshness"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/result"
)

// freshConfig returns the configuration of the freshness machine.
func (n *Node) freshConfig() freshness.Config {
	t := n.settings.Times
	return freshness.Config{Bound: t.Freshness, Drift: t.ClockDrift, AskEvery: t.LogPoll}
}

// stepFresh passes an event to the freshness machine and carries out its
// actions.
func (n *Node) stepFresh(ctx context.Context, ev freshness.Event) {
	n.freshnessMu.Lock()
	now := n.clock()
	n.freshnessTrace.event(now, ev)
	actions := n.freshnessMachine.Step(now, ev)
	n.freshnessMu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case freshness.FreshUntil:
			n.raiseFreshUntil(a.End)
		case freshness.AskPeers:
			n.startBackground(func() { n.askFreshness(ctx) })
		case freshness.FetchFrom:
			n.feed.follower.readNow()
			n.startBackground(func() { n.fetchResources(ctx) })
		}
	}
}

// raiseFreshUntil moves the end of start authority up, never down: events can
// be handled by several goroutines.
func (n *Node) raiseFreshUntil(end time.Duration) {
	raise(&n.freshUntil, int64(end))
}

// startsUntil returns the end of start authority on the local clock.
func (n *Node) startsUntil() time.Duration {
	return time.Duration(n.freshUntil.Load())
}

// claimsReadAt returns when the last successful read of the claims stream was
// sent.
func (n *Node) claimsReadAt() time.Duration {
	claims := n.claims.Load()
	if claims == nil {
		return 0
	}
	return time.Duration(claims.readAt.Load())
}

// askFreshness asks all peers for the newest head that they know.
func (n *Node) askFreshness(ctx context.Context) {
	var asked sync.WaitGroup
	var highest atomic.Int64
	highest.Store(-1)
	for _, p := range n.peers {
		asked.Go(func() { raise(&highest, n.askOneFreshness(ctx, p)) })
	}
	asked.Wait()
	if head := highest.Load(); head >= 0 && n.feed.store.View().Offset() >= head {
		n.caughtUp.Store(true)
	}
}

// raise sets a value to a higher one.
func raise(value *atomic.Int64, to int64) {
	for {
		before := value.Load()
		if to <= before || value.CompareAndSwap(before, to) {
			return
		}
	}
}

// askOneFreshness asks one peer and returns the head that it knows, -1 if none.
func (n *Node) askOneFreshness(ctx context.Context, p *peerState) int64 {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	askedAt := n.clock()
	answer, err := p.client.Freshness(ctx, &peerpb.FreshnessRequest{})
	if err != nil || answer.AgeNanos < 0 {
		return -1
	}
	n.stepFresh(ctx, freshness.PeerReport{
		Peer:    p.client.Address.VM,
		AskedAt: askedAt,
		Head:    answer.Head,
		Age:     time.Duration(answer.AgeNanos),
	})
	return answer.Head
}

// fetchResources takes the resource store over from a peer that has a newer
// one, while the log can't be read directly.
func (n *Node) fetchResources(ctx context.Context) {
	if n.log.Direct() {
		return
	}
	for _, p := range n.peers {
		if n.fetchFrom(ctx, p) {
			return
		}
	}
}

func (n *Node) fetchFrom(ctx context.Context, p *peerState) bool {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	known := n.feed.store.View().Offset()
	answer, err := p.client.FetchResources(ctx, &peerpb.FetchResourcesRequest{Known: known})
	if err != nil || len(answer.Snapshot) == 0 {
		return false
	}
	adopted, err := n.feed.restoreFromPeer(answer.Snapshot)
	if err != nil {
		n.events.Log(logevent.SnapshotIgnored, zap.String("stream", "resources"), zap.Int64("offset", answer.Head), zap.Error(err))
		return false
	}
	if adopted {
		n.events.Log(logevent.RecordsPulled, zap.String("peer", p.client.Address.VM), zap.Int64("to", answer.Head))
	}
	return adopted
}

// resourcesApplied follows the store to a higher offset.
func (n *Node) resourcesApplied(ctx context.Context, offset int64) {
	view := n.feed.store.View()
	n.currentWork.Store(newDeclaredWork(view, n.settings.DataCentre, n.clock(), n.currentWork.Load()))
	n.updateBinding(view)
	n.stepFresh(ctx, freshness.Applied{Offset: offset})
	n.startClaims(ctx)
}

// Ready returns nil once this VM holds the newest configuration and is not
// stopping. Start authority is no proof of that: a peer that is cut off itself
// can give its word on an older head. While the log can't be reached, that is the newest configuration
// known to all peers that answered. It implements operator.Readiness.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return result.Errorf(result.NotRunStopping, "this entry VM is stopping")
	}
	if !n.caughtUp.Load() {
		return result.Errorf(result.NotReady, "the newest configuration has not been read yet")
	}
	return nil
}
