package standin

import (
	"net/http"
	"time"
)

// faultHandler applies request faults around the handler of an endpoint.
type faultHandler struct {
	endpoint *endpoint
	faults   *FaultSet
	next     http.Handler
}

// ServeHTTP implements http.Handler.
func (h *faultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dropResponse := false
	for _, f := range h.faults.MatchRequest(h.endpoint.targets) {
		switch f.Kind {
		case FaultDown:
			panic(http.ErrAbortHandler)
		case FaultSlow:
			h.endpoint.wait(time.Duration(f.Delay))
		case FaultResponseLost:
			dropResponse = true
		case FaultCut:
			w = &abortingWriter{ResponseWriter: w, remaining: f.Bytes}
		case FaultFrozen:
			r.Context().Value(connContextKey{}).(*conn).freezeAfter(f.Bytes)
		}
	}
	if !dropResponse {
		h.next.ServeHTTP(w, r)
		return
	}
	h.next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}
