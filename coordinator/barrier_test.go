package coordinator_test

import (
	"context"
	"sync"
)

// barrier holds calls until a number of them have arrived. Later calls pass.
type barrier struct {
	mu     sync.Mutex
	absent int
	full   chan struct{}
}

func newBarrier(calls int) *barrier { return &barrier{absent: calls, full: make(chan struct{})} }

// await waits at the barrier, and not at nil.
func (b *barrier) await(ctx context.Context) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.absent--
	if b.absent == 0 {
		close(b.full)
	}
	b.mu.Unlock()
	select {
	case <-b.full:
	case <-ctx.Done():
	}
}
