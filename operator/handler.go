package operator

import (
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

// Handler serves all paths under /v1/.
type Handler struct {
	config     Config
	mux        *http.ServeMux
	watchSlots chan struct{}
}

// New returns a handler that must be mounted at /v1/.
func New(c Config) *Handler {
	if c.BookmarkInterval <= 0 {
		c.BookmarkInterval = DefaultBookmarkInterval
	}
	if c.MaxWatches <= 0 {
		c.MaxWatches = DefaultMaxWatches
	}
	h := &Handler{config: c, mux: http.NewServeMux(), watchSlots: make(chan struct{}, c.MaxWatches)}
	h.registerRoutes()
	return h
}

// ServeHTTP serves a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) registerRoutes() {
	h.mux.HandleFunc("GET /v1/{kind}", h.requireReady(h.listOrWatch))
	h.mux.HandleFunc("GET /v1/{kind}/{name}", h.requireReady(h.getResource))
	h.mux.HandleFunc("PUT /v1/{kind}/{name}", h.requireReady(h.putResource))
	h.mux.HandleFunc("DELETE /v1/{kind}/{name}", h.requireReady(h.deleteResource))
	h.mux.HandleFunc("POST /v1/{kind}/{name}/{verb}", h.requireReady(h.submitPathVerb))
	h.mux.HandleFunc("POST /v1/request-ids", h.requireReady(h.issueID))
	h.mux.HandleFunc("/v1/", pathNotFound)
}

// requireReady responds with the error of Readiness, if any, instead of calling
// next: a VM without the newest configuration must not serve an older one.
func (h *Handler) requireReady(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.config.Readiness.Ready(); err != nil {
			writeFailure(w, Failure{Code: result.CodeOf(err, result.NotReady), Message: errorMessage(err)})
			return
		}
		next(w, r)
	}
}

// pathNotFound responds to requests that no other pattern matches, including
// those with a method that the path does not support.
func pathNotFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, Failure{Code: result.NotFound, Message: fmt.Sprintf("%s %s does not exist", r.Method, r.URL.Path)})
}
