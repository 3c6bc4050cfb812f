package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// pageLog is a log that returns the same page for every read.
type pageLog struct {
	hostapi.Log
	page hostapi.LogPage
}

// Read implements hostapi.Log.
func (l pageLog) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return l.page, nil
}
