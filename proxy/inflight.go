package proxy

import (
	"context"
	"sync/atomic"
)

// inFlight counts requests in progress.
type inFlight struct {
	count    atomic.Int64
	draining atomic.Bool
	// drained receives a value when the count reaches zero while draining.
	drained chan struct{}
}

func newInFlight() *inFlight {
	return &inFlight{drained: make(chan struct{}, 1)}
}

func (f *inFlight) begin() int64 {
	return f.count.Add(1)
}

func (f *inFlight) end() {
	if f.count.Add(-1) != 0 || !f.draining.Load() {
		return
	}
	select {
	case f.drained <- struct{}{}:
	default:
	}
}

func (f *inFlight) drain(ctx context.Context) int {
	f.draining.Store(true)
	for f.count.Load() > 0 {
		select {
		case <-f.drained:
		case <-ctx.Done():
			return int(f.count.Load())
		}
	}
	return 0
}
