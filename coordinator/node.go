package coordinator

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand/v2"
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
	storeLatency *storeLatency
	workers      *workerList
	cells        []*cell
	declarations atomic.Pointer[Declarations]
	// declarationsReadAt is when the last read of the declarations that was answered was
	// sent, in nanoseconds of the monotonic clock. It is stored after declarations.
	declarationsReadAt atomic.Int64
	// manifest tells how old the manifest of declarations is.
	manifest manifestView
	// refusals counts the calls that were refused for their keys.
	refusals refusedCalls
	// lastStoreResponse is when the store last responded, in nanoseconds since
	// startedAt.
	lastStoreResponse atomic.Int64
	// lastJoin is when the last successful join was sent, in nanoseconds of
	// authorityNow.
	lastJoin atomic.Int64
	stopping atomic.Bool
	// joining is held during calls that join or leave the group: a join that arrives after the
	// node has left would make it a member again.
	joining sync.Mutex
	// joinRequests receives a signal when an assignment must be confirmed by a join.
	joinRequests chan struct{}
	// reader decodes records and snapshots.
	reader ledger.Reader
	// refused: the node is to leave the group, because it can't read a cell.
	refused atomic.Bool
	// reserveActive reports whether a node in reserve currently takes cells.
	reserveActive atomic.Bool
	// checksWithoutOwner is the number of consecutive checks of a node in reserve
	// that found no other owner.
	checksWithoutOwner int
	startedAt          time.Time
	// process tells this process from others on its VM.
	process int64
	wg      sync.WaitGroup
}

// NewNode returns a node that has not started.
func NewNode(config Config, platform Platform, logger *logevent.Logger, metrics *Metrics) *Node {
	n := &Node{config: config, platform: platform, logger: logger, metrics: metrics, startedAt: time.Now(), process: 1 + rand.Int64N(math.MaxInt64)}
	n.reader = ledger.Reader{Format: ledger.Format}
	n.peers = newPeerClients()
	n.joinRequests = make(chan struct{}, 1)
	n.manifest.init()
	n.owners = &ownerCache{node: n, owners: make(map[int]ledger.Owner), sightings: make(map[int]epochSightings)}
	n.storeLatency = &storeLatency{node: n}
	n.workers = newWorkerList(n)
	n.lastJoin.Store(int64(n.authorityNow() - assignmentValidity))
	for i := range config.Cells {
		n.cells = append(n.cells, newCell(n, i))
	}
	return n
}

// monotonicNow returns the monotonic time since the node was created.
func (n *Node) monotonicNow() time.Duration { return time.Since(n.startedAt) }

// Run runs the node until ctx is done.
func (n *Node) Run(ctx context.Context) {
	n.wg.Go(func() { n.followDeclarations(ctx) })
	n.wg.Go(func() { n.maintainMembership(ctx) })
	n.wg.Go(func() { n.workers.follow(ctx) })
	for _, c := range n.cells {
		n.wg.Go(func() { c.run(ctx) })
		if !n.isInReserve() {
			n.wg.Go(func() { c.watchOwner(ctx) })
		}
	}
	n.wg.Wait()
}

// Stop leaves the group and releases the node's cells, each as soon as another node is ready to
// take it over, until ctx is done. The node continues to serve callers.
func (n *Node) Stop(ctx context.Context) {
	if n.stopping.Swap(true) {
		return
	}
	n.releaseCells()
	for attempt := 1; !n.leaveGroup(ctx) && sleep(ctx, retryDelay(attempt)); attempt++ {
	}
	n.waitUntilReleased(ctx)
}

// Ready reports whether the node can accept submissions.
func (n *Node) Ready() bool {
	d := n.declarations.Load()
	if n.stopping.Load() || d == nil || d.Manifest == nil || n.manifestExpired() {
		return false
	}
	return n.storeSilence() < maxStoreSilence
}

// Manifest returns the newest manifest, or nil if none has been read.
func (n *Node) Manifest() *workload.Manifest {
	d := n.declarations.Load()
	if d == nil {
		return nil
	}
	return d.Manifest
}

// cellOf returns the cell of the submission or worker with an id.
func (n *Node) cellOf(id string) *cell {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return n.cells[int(h.Sum32()%uint32(len(n.cells)))]
}

// storeSilence returns the time since the store last responded to the node.
func (n *Node) storeSilence() time.Duration {
	return n.monotonicNow() - time.Duration(n.lastStoreResponse.Load())
}

// recordStoreResponse records the time of a response of the store.
func (n *Node) recordStoreResponse() { n.lastStoreResponse.Store(int64(n.monotonicNow())) }

// sleep waits for d. It returns false if ctx is done first.
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
