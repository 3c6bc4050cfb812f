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
	config   Config
	platform Platform
	events   *logevent.Logger
	meters   *Meters
	peers    *peers
	owners   *owners
	workers  *workerList
	cells    []*cell
	declared atomic.Pointer[Declared]
	// storeSeen is when the store last answered, in nanoseconds since start.
	storeSeen atomic.Int64
	// joinedAt is when the last successful join was sent, in nanoseconds since start.
	joinedAt atomic.Int64
	stopping atomic.Bool
	// serving tells that a node in reserve owns cells, absent counts its
	// checks in a row that found nobody else.
	serving atomic.Bool
	absent  int
	started time.Time
	running sync.WaitGroup
}

// NewNode returns a node that has not started.
func NewNode(config Config, platform Platform, events *logevent.Logger, meters *Meters) *Node {
	n := &Node{config: config, platform: platform, events: events, meters: meters, started: time.Now()}
	n.peers = newPeers()
	n.owners = &owners{node: n, known: make(map[int]ledger.Owner)}
	n.workers = newWorkerList(n)
	for i := range config.Cells {
		n.cells = append(n.cells, newCell(n, i))
	}
	return n
}

// now returns the steady time since the node was made.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// Run works until ctx is done.
func (n *Node) Run(ctx context.Context) {
	n.running.Go(func() { n.followDeclarations(ctx) })
	n.running.Go(func() { n.keepMembership(ctx) })
	n.running.Go(func() { n.workers.follow(ctx) })
	for _, c := range n.cells {
		n.running.Go(func() { c.run(ctx) })
	}
	n.running.Wait()
}

// Stop gives up the node's cells, so that others take them over at once. The
// node goes on answering callers.
func (n *Node) Stop(ctx context.Context) {
	if n.stopping.Swap(true) {
		return
	}
	n.giveUp(ctx)
}

// Ready tells whether the node can take submissions.
func (n *Node) Ready() bool {
	d := n.declared.Load()
	if n.stopping.Load() || d == nil || d.Manifest == nil {
		return false
	}
	return n.now()-time.Duration(n.storeSeen.Load()) < storeSilence
}

// Manifest returns the newest manifest, or nil.
func (n *Node) Manifest() *workload.Manifest {
	d := n.declared.Load()
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
func (n *Node) storeAnswered() { n.storeSeen.Store(int64(n.now())) }

// assignmentFresh tells whether the group's last word on the cells still holds.
func (n *Node) assignmentFresh() bool {
	return n.now()-time.Duration(n.joinedAt.Load()) < assignmentHolds
}

// pause waits, or returns false if ctx is done first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
