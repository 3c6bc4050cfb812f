package coordinator

import (
	"context"
	"sync"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// workerList reads the list of workers for all cells that this node owns, and
// reads nothing while it owns none.
type workerList struct {
	node *Node
	mu   sync.Mutex
	// readers are the present ownerships; the value tells whether they were
	// given a list.
	readers map[*ownership]subscription
	// joined wakes the reading goroutine.
	joined chan struct{}
}

// subscription is an ownership that wants the list.
type subscription struct {
	ctx context.Context
	// told is true after the first list.
	told bool
}

func newWorkerList(n *Node) *workerList {
	return &workerList{node: n, readers: make(map[*ownership]subscription), joined: make(chan struct{}, 1)}
}

// subscribe gives the list to an ownership until ctx is done.
func (l *workerList) subscribe(ctx context.Context, o *ownership) {
	l.mu.Lock()
	l.readers[o] = subscription{ctx: ctx}
	l.mu.Unlock()
	signal(l.joined)
}

func (l *workerList) unsubscribe(o *ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.readers, o)
}

func (l *workerList) wanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.readers) > 0
}

// follow reads the list until ctx is done.
func (l *workerList) follow(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !l.wanted() {
			select {
			case <-ctx.Done():
			case <-l.joined:
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, logTimeout)
		list, changed, err := l.node.platform.Directory.Workers(call)
		cancel()
		l.node.meters.logCall(err)
		if err == nil {
			l.publish(list, changed)
		} else if !failing && ctx.Err() == nil {
			l.node.logError(logevent.DirectoryLost, err)
		}
		failing = err != nil
		pause(ctx, directoryInterval)
	}
}

// publish gives the list to the ownerships for which it is new.
func (l *workerList) publish(list []workload.Worker, changed bool) {
	l.mu.Lock()
	due := make(map[*ownership]context.Context, len(l.readers))
	for o, s := range l.readers {
		if changed || !s.told {
			due[o] = s.ctx
			l.readers[o] = subscription{ctx: s.ctx, told: true}
		}
	}
	l.mu.Unlock()
	for o, ctx := range due {
		o.post(ctx, dispatch.WorkersListed{Workers: l.node.workersOf(o.cell, list)})
	}
}
