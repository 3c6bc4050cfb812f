package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// pageLog is a log whose every read returns the same page.
type pageLog struct {
	hostapi.Log
	page hostapi.LogPage
}

// Read implements hostapi.Log.
func (l pageLog) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return l.page, nil
}
