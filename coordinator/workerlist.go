package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// workerList reads the list of workers once for all cells that this node owns,
// and not at all while it owns none.
type workerList struct {
	node        *Node
	mu          sync.Mutex
	subscribers map[*ownership]subscription
	// wake wakes the reading goroutine when an ownership subscribes.
	wake chan struct{}
}

// subscription is the subscription of an ownership to the list.
type subscription struct {
	ctx context.Context
	// delivered reports whether the ownership has received a list.
	delivered bool
}

func newWorkerList(n *Node) *workerList {
	return &workerList{node: n, subscribers: make(map[*ownership]subscription), wake: make(chan struct{}, 1)}
}

// subscribe sends the list and its changes to an ownership until ctx is done.
func (l *workerList) subscribe(ctx context.Context, o *ownership) {
	l.mu.Lock()
	l.subscribers[o] = subscription{ctx: ctx}
	l.mu.Unlock()
	signal(l.wake)
}

func (l *workerList) unsubscribe(o *ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.subscribers, o)
}

func (l *workerList) hasSubscribers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.subscribers) > 0
}

// follow reads the list until ctx is done.
func (l *workerList) follow(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !l.hasSubscribers() {
			select {
			case <-ctx.Done():
			case <-l.wake:
			}
			continue
		}
		sent := l.node.monotonicNow()
		call, cancel := context.WithTimeout(ctx, logTimeout)
		list, changed, err := l.node.platform.Directory.Workers(call)
		cancel()
		l.node.metrics.countLogCall(err)
		failing = l.logOutcome(ctx, failing, err)
		if err != nil {
			// Starts wait for the next answer.
			sleep(ctx, min(l.node.directoryInterval(), logRetryDelay))
			continue
		}
		l.publish(list, changed, sent)
		sleep(ctx, l.node.directoryInterval())
	}
}

// logOutcome logs the first of consecutive failed reads and returns whether this one
// failed.
func (l *workerList) logOutcome(ctx context.Context, failing bool, err error) bool {
	if err != nil && !failing && ctx.Err() == nil {
		l.node.logError(logevent.DirectoryLost, err)
	}
	return err != nil
}

// publish sends the list to the ownerships for which it is new, and to all of them that
// it was read. The read was sent at sent.
func (l *workerList) publish(list []workload.Worker, changed bool, sent time.Duration) {
	l.mu.Lock()
	subscribers := maps.Clone(l.subscribers)
	for o, s := range l.subscribers {
		l.subscribers[o] = subscription{ctx: s.ctx, delivered: true}
	}
	l.mu.Unlock()
	for o, s := range subscribers {
		if changed || !s.delivered {
			o.post(s.ctx, dispatch.WorkersListed{Workers: l.node.workersOf(o.cell, list), All: list})
		}
		o.post(s.ctx, dispatch.ViewRead{View: dispatch.WorkerList, SentAt: sent})
	}
}
