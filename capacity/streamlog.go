package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/platform"
)

// streamLog is a memoryLog as the platform.Log of one stream.
type streamLog struct {
	*memoryLog
}

// Append implements platform.Log.
func (l streamLog) Append(ctx context.Context, _, id string, data []byte) (int64, error) {
	return l.append(ctx, id, data)
}

// Read implements platform.Log. Records are handed to the reader without reads.
func (l streamLog) Read(context.Context, string, int64, int) (platform.LogPage, error) {
	return platform.LogPage{First: 1, Next: l.offset.Load() + 1}, nil
}
