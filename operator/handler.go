package operator

import (
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

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
	h.mux.HandleFunc("GET /v1/{kind}", h.whenReady(h.listOrWatch))
	h.mux.HandleFunc("GET /v1/{kind}/{name}", h.whenReady(h.get))
	h.mux.HandleFunc("PUT /v1/{kind}/{name}", h.whenReady(h.put))
	h.mux.HandleFunc("DELETE /v1/{kind}/{name}", h.whenReady(h.remove))
	h.mux.HandleFunc("POST /v1/{kind}/{name}/{verb}", h.whenReady(h.change))
	h.mux.HandleFunc("POST /v1/request-ids", h.whenReady(h.issueID))
	h.mux.HandleFunc("/v1/", noSuchPath)
}

// whenReady answers with the error of Readiness, if any, before the handler
// runs: a VM without the newest configuration must not show an older one.
func (h *Handler) whenReady(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.config.Readiness.Ready(); err != nil {
			fail(w, Failure{Code: result.CodeOf(err, result.NotReady), Message: messageOf(err)})
			return
		}
		next(w, r)
	}
}

// noSuchPath answers requests that no other pattern matches, also those with
// a method that the path does not have.
func noSuchPath(w http.ResponseWriter, r *http.Request) {
	fail(w, Failure{Code: result.NotFound, Message: fmt.Sprintf("%s %s does not exist", r.Method, r.URL.Path)})
}
