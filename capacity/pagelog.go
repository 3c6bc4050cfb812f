package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/platform"
)

// pageLog is a log whose every read returns the same page.
type pageLog struct {
	platform.Log
	page platform.LogPage
}

// Read implements platform.Log.
func (l pageLog) Read(context.Context, string, int64, int) (platform.LogPage, error) {
	return l.page, nil
}
