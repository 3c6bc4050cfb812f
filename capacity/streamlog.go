package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// streamLog adapts a memoryLog to hostapi.Log for a single stream.
type streamLog struct {
	*memoryLog
}

// Append implements hostapi.Log.
func (l streamLog) Append(ctx context.Context, _, id string, data []byte) (int64, error) {
	return l.append(ctx, id, data)
}

// Read implements hostapi.Log. It returns no records, because memoryLog passes
// them to the reader directly.
func (l streamLog) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return hostapi.LogPage{First: 1, Next: l.offset.Load() + 1}, nil
}
