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
// and not at all while it owns none and takes none over.
type workerList struct {
	node        *Node
	mu          sync.Mutex
	subscribers map[*ownership]subscription
	// preparing is the number of cells that are being taken over.
	preparing int
	// list is the last one that was read, by a call that was sent at sent.
	list []workload.Worker
	sent time.Duration
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

// prepare has the list read until the returned function is called, so that an ownership that
// begins before has it at once.
func (l *workerList) prepare() (end func()) {
	l.mu.Lock()
	l.preparing++
	l.mu.Unlock()
	signal(l.wake)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.preparing--
	}
}

// subscribe sends the list and its changes to an ownership until ctx is done. The ownership has
// not begun to read its events, so the first ones don't wait.
func (l *workerList) subscribe(ctx context.Context, o *ownership) {
	l.mu.Lock()
	recent := l.list != nil && l.node.monotonicNow()-l.sent < preparedListAge
	if recent {
		l.send(ctx, o, l.list, l.sent)
	}
	l.subscribers[o] = subscription{ctx: ctx, delivered: recent}
	l.mu.Unlock()
	signal(l.wake)
}

// send passes a list on to an ownership.
func (l *workerList) send(ctx context.Context, o *ownership, list []workload.Worker, sent time.Duration) {
	o.post(ctx, dispatch.WorkersListed{Workers: l.node.workersOf(o.cell, list), All: list})
	o.post(ctx, dispatch.ViewRead{View: dispatch.WorkerList, SentAt: sent})
}

func (l *workerList) unsubscribe(o *ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.subscribers, o)
}

func (l *workerList) isNeeded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.subscribers)+l.preparing > 0
}

// follow reads the list until ctx is done.
func (l *workerList) follow(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !l.isNeeded() {
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
	l.list, l.sent = list, sent
	subscribers := maps.Clone(l.subscribers)
	for o, s := range l.subscribers {
		l.subscribers[o] = subscription{ctx: s.ctx, delivered: true}
	}
	l.mu.Unlock()
	for o, s := range subscribers {
		if changed || !s.delivered {
			l.send(s.ctx, o, list, sent)
			continue
		}
		o.post(s.ctx, dispatch.ViewRead{View: dispatch.WorkerList, SentAt: sent})
	}
}
