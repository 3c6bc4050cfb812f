package operator

import "time"

// DefaultBookmarkInterval is the interval between the bookmarks of a watch. A
// client that receives nothing for several intervals can assume that the
// connection is dead.
const DefaultBookmarkInterval = 5 * time.Second

// DefaultMaxWatches bounds the watches open at a time.
const DefaultMaxWatches = 256

// Config holds the dependencies and parameters of a Handler. All interfaces are
// required.
type Config struct {
	Store      Store
	Readiness  Readiness
	Submitter  Submitter
	Status     StatusSource
	RequestIDs RequestIDs
	// BookmarkInterval defaults to DefaultBookmarkInterval.
	BookmarkInterval time.Duration
	// MaxWatches defaults to DefaultMaxWatches.
	MaxWatches int
	// Stopping is closed when the process stops, which ends the open watches. It
	// may be nil.
	Stopping <-chan struct{}
}
