package operator

import (
	"net/http"
	"time"
)

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

// Handler serves all paths under /v1/.
type Handler struct {
	config  Config
	mux     *http.ServeMux
	watches chan struct{}
}

// New returns a handler to mount at /v1/.
func New(c Config) *Handler {
	if c.BookmarkInterval <= 0 {
		c.BookmarkInterval = DefaultBookmarkInterval
	}
	if c.MaxWatches <= 0 {
		c.MaxWatches = DefaultMaxWatches
	}
	h := &Handler{config: c, mux: http.NewServeMux(), watches: make(chan struct{}, c.MaxWatches)}
	h.routes()
	return h
}

// ServeHTTP serves a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) routes() {
}
