package operator

import "time"

// DefaultBookmarkInterval is the time after which a silent watch gets a
// bookmark. A client that receives nothing for several intervals can take the
// connection for silent.
const DefaultBookmarkInterval = 5 * time.Second

// DefaultMaxWatches bounds the watches open at a time.
const DefaultMaxWatches = 256

// Config holds what a Handler works with. All interfaces are required.
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
	// Stopping ends the open watches when it is closed. It may be nil.
	Stopping <-chan struct{}
}
