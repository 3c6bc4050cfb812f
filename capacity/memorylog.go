package capacity

import (
	"context"
	"sync/atomic"
	"time"
)

// memoryLog answers appends after a latency, and passes each to a reader after
// another one, as a log does that notifies its readers. It counts records and
// bytes.
type memoryLog struct {
	latency  time.Duration
	readBack func(id string, offset int64)
	offset   atomic.Int64
	bytes    atomic.Int64
}

// append adds a record.
func (l *memoryLog) append(ctx context.Context, id string, data []byte) (int64, error) {
	select {
	case <-time.After(l.latency):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	offset := l.offset.Add(1)
	l.bytes.Add(int64(len(data)))
	time.AfterFunc(l.latency, func() { l.readBack(id, offset) })
	return offset, nil
}
