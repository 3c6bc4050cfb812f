package coordinator

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// Node accepts submissions and owns the cells that the group assigns to it.
type Node struct {
	config       Config
	platform     Platform
	logger       *logevent.Logger
	metrics      *Metrics
	peers        *peerClients
	owners       *ownerCache
	workers      *workerList
	cells        []*cell
	declarations atomic.Pointer[Declarations]
	// storeSeen is when the store last answered, in nanoseconds since start.
	lastStoreResponse atomic.Int64
	// joinedAt is when the last successful join was sent, in nanoseconds since start.
	lastJoin atomic.Int64
	stopping atomic.Bool
	// serving tells that a node in reserve owns cells, absent counts its
	// checks in a row that found nobody else.
	reserveActive      atomic.Bool
	checksWithoutOwner int
	startedAt          time.Time
	wg                 sync.WaitGroup
}

// NewNode returns a node that has not started.
func NewNode(config Config, platform Platform, logger *logevent.Logger, metrics *Metrics) *Node {
	n := &Node{config: config, platform: platform, logger: logger, metrics: metrics, startedAt: time.Now()}
	n.peers = newPeerClients()
	n.owners = &ownerCache{node: n, owners: make(map[int]ledger.Owner)}
	n.workers = newWorkerList(n)
	for i := range config.Cells {
		n.cells = append(n.cells, newCell(n, i))
	}
	return n
}

// now returns the steady time since the node was made.
func (n *Node) monotonicNow() time.Duration { return time.Since(n.startedAt) }

// Run works until ctx is done.
func (n *Node) Run(ctx context.Context) {
	n.wg.Go(func() { n.followDeclarations(ctx) })
	n.wg.Go(func() { n.maintainMembership(ctx) })
	n.wg.Go(func() { n.workers.follow(ctx) })
	for _, c := range n.cells {
		n.wg.Go(func() { c.run(ctx) })
	}
	n.wg.Wait()
}

// Stop gives up the node's cells, so that others take them over at once. The
// node goes on answering callers.
func (n *Node) Stop(ctx context.Context) {
	if n.stopping.Swap(true) {
		return
	}
	n.releaseCells(ctx)
}

// Ready tells whether the node can take submissions.
func (n *Node) Ready() bool {
	d := n.declarations.Load()
	if n.stopping.Load() || d == nil || d.Manifest == nil {
		return false
	}
	return n.monotonicNow()-time.Duration(n.lastStoreResponse.Load()) < maxStoreSilence
}

// Manifest returns the newest manifest, or nil.
func (n *Node) Manifest() *workload.Manifest {
	d := n.declarations.Load()
	if d == nil {
		return nil
	}
	return d.Manifest
}

// cellOf returns the cell of a submission or of a worker.
func (n *Node) cellOf(id string) *cell {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return n.cells[int(h.Sum32()%uint32(len(n.cells)))]
}

// storeAnswered notes an answer of the store.
func (n *Node) recordStoreResponse() { n.lastStoreResponse.Store(int64(n.monotonicNow())) }

// assignmentFresh tells whether the group's last word on the cells still holds.
func (n *Node) assignmentValid() bool {
	return n.monotonicNow()-time.Duration(n.lastJoin.Load()) < assignmentValidity
}

// pause waits, or returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
