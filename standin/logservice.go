package standin

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"

	"github.com/cactusreel/cactusreel/hostapi"
)

// logService implements hostapi.Log on a LogStore, with the real clock, latency
// and an append rate limit.
type logService struct {
	platform *Platform
	limiter  *rate.Limiter

	mu    sync.Mutex
	store *LogStore
}

var _ hostapi.Log = (*logService)(nil)

func newLogService(p *Platform) *logService {
	limit := rate.Limit(p.options.AppendsPerSecond)
	if limit == 0 {
		limit = rate.Inf
	}
	return &logService{
		platform: p,
		limiter:  rate.NewLimiter(limit, max(p.options.AppendsPerSecond, 1)),
		store:    NewLogStore(p.options.Retention),
	}
}

// Append implements hostapi.Log. The append takes effect after half of the
// latency, even if ctx has been cancelled by then, because the request was
// already received.
func (l *logService) Append(_ context.Context, stream, id string, data []byte) (int64, error) {
	err := l.limiter.Wait(context.Background())
	if err != nil {
		return 0, fmt.Errorf("append rate: %w", err)
	}
	latency := l.platform.options.AppendLatency
	l.platform.wait(latency / 2)
	l.mu.Lock()
	offset := l.store.Append(l.platform.now(), stream, id, data)
	l.mu.Unlock()
	l.platform.wait(latency - latency/2)
	return offset, nil
}

// Read implements hostapi.Log.
func (l *logService) Read(_ context.Context, stream string, from int64, limit int) (hostapi.LogPage, error) {
	latency := l.platform.options.ReadLatency
	l.platform.wait(latency / 2)
	l.mu.Lock()
	page, err := l.store.Read(l.platform.now(), stream, from, limit)
	l.mu.Unlock()
	l.platform.wait(latency - latency/2)
	return page, err
}

func (l *logService) truncate(stream string, first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.Truncate(stream, first)
}
