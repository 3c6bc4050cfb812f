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

func (n *Node) freshnessConfig() freshness.Config {
	t := n.settings.Times
	return freshness.Config{Bound: t.Freshness, Drift: t.ClockDrift, AskEvery: t.LogPoll}
}

// stepFreshness passes an event to the freshness machine and carries out the
// resulting actions.
func (n *Node) stepFreshness(ctx context.Context, ev freshness.Event) {
	n.freshnessMu.Lock()
	now := n.clock()
	n.freshnessTrace.event(now, ev)
	actions := n.freshnessMachine.Step(now, ev)
	n.freshnessMu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case freshness.FreshUntil:
			n.raiseStartUntil(a.End)
		case freshness.AskPeers:
			n.startBackground(func() { n.requestFreshness(ctx) })
		case freshness.FetchFrom:
			n.feed.follower.readNow()
			n.startBackground(func() { n.fetchResources(ctx) })
		}
	}
}

// raiseStartUntil moves the end of the start authority forward, never back:
// several goroutines may carry out actions in any order.
func (n *Node) raiseStartUntil(end time.Duration) {
	storeMax(&n.freshUntil, int64(end))
}

// startUntil returns the end of the start authority on the local clock.
func (n *Node) startUntil() time.Duration {
	return time.Duration(n.freshUntil.Load())
}

// claimsReadAt returns when the last successful read of the claims stream was
// sent, on the local clock, or 0 if there was none.
func (n *Node) claimsReadAt() time.Duration {
	claims := n.claims.Load()
	if claims == nil {
		return 0
	}
	return time.Duration(claims.readAt.Load())
}

// requestFreshness requests the freshness reports of all peers. If the store
// holds the newest head that they report, this VM has caught up.
func (n *Node) requestFreshness(ctx context.Context) {
	var requests sync.WaitGroup
	var highest atomic.Int64
	highest.Store(-1)
	for _, p := range n.peers {
		requests.Go(func() { storeMax(&highest, n.requestPeerFreshness(ctx, p)) })
	}
	requests.Wait()
	if head := highest.Load(); head >= 0 && n.feed.store.View().Offset() >= head {
		n.caughtUp.Store(true)
	}
}

// storeMax sets value to candidate if that is higher.
func storeMax(value *atomic.Int64, candidate int64) {
	for {
		current := value.Load()
		if candidate <= current || value.CompareAndSwap(current, candidate) {
			return
		}
	}
}

// requestPeerFreshness requests the freshness report of one peer and returns
// the head it reports, or -1 if there is none.
func (n *Node) requestPeerFreshness(ctx context.Context, p *peerState) int64 {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	askedAt := n.clock()
	response, err := p.client.Freshness(ctx, &peerpb.FreshnessRequest{})
	if err != nil || response.AgeNanos < 0 {
		return -1
	}
	n.stepFreshness(ctx, freshness.PeerReport{
		Peer:    p.client.Address.VM,
		AskedAt: askedAt,
		Head:    response.Head,
		Age:     time.Duration(response.AgeNanos),
	})
	return response.Head
}

// fetchResources restores the resource store from a peer that has a newer one,
// while the log cannot be read directly.
func (n *Node) fetchResources(ctx context.Context) {
	if n.log.DirectReachable() {
		return
	}
	for _, p := range n.peers {
		if n.fetchResourcesFrom(ctx, p) {
			return
		}
	}
}

// fetchResourcesFrom restores the resource store from one peer and reports
// whether its store was newer.
func (n *Node) fetchResourcesFrom(ctx context.Context, p *peerState) bool {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	known := n.feed.store.View().Offset()
	response, err := p.client.FetchResources(ctx, &peerpb.FetchResourcesRequest{Known: known})
	if err != nil || len(response.Snapshot) == 0 {
		return false
	}
	adopted, err := n.feed.restoreFromPeer(response.Snapshot)
	if err != nil {
		n.events.Log(logevent.SnapshotIgnored, zap.String("stream", "resources"), zap.Int64("offset", response.Head), zap.Error(err))
		return false
	}
	if adopted {
		n.events.Log(logevent.RecordsPulled, zap.String("peer", p.client.Address.VM), zap.Int64("from", known), zap.Int64("to", response.Head))
	}
	return adopted
}

// resourcesApplied updates what depends on the resource store after the store
// has reached a higher offset.
func (n *Node) resourcesApplied(ctx context.Context, offset int64) {
	view := n.feed.store.View()
	n.currentWork.Store(newDeclaredWork(view, n.settings.DataCentre, n.clock(), n.currentWork.Load()))
	n.updateBinding(view)
	n.stepFreshness(ctx, freshness.Applied{Offset: offset})
	n.startClaims(ctx)
}

// Ready returns nil once this VM has applied the newest configuration and is
// not stopping. Start authority is not sufficient for that, because a peer that
// is itself cut off can report an old head as fresh. While the log is
// unreachable, the newest configuration is the newest one known to all peers
// that answered. Ready implements operator.Readiness.
func (n *Node) Ready() error {
	if n.stopping.Load() {
		return result.Errorf(result.NotRunStopping, "this entry VM is stopping")
	}
	if !n.caughtUp.Load() {
		return result.Errorf(result.NotReady, "the newest configuration has not been read yet")
	}
	return nil
}
