package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// streamLog is a memoryLog as the hostapi.Log of one stream.
type streamLog struct {
	*memoryLog
}

// Append implements hostapi.Log.
func (l streamLog) Append(ctx context.Context, _, id string, data []byte) (int64, error) {
	return l.append(ctx, id, data)
}

// Read implements hostapi.Log. Records are handed to the reader without reads.
func (l streamLog) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return hostapi.LogPage{First: 1, Next: l.offset.Load() + 1}, nil
}
