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
func (g *faultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dropResponse := false
	for _, f := range g.faults.MatchRequest(g.endpoint.targets) {
		switch f.Kind {
		case FaultDown:
			panic(http.ErrAbortHandler)
		case FaultSlow:
			g.endpoint.wait(time.Duration(f.Delay))
		case FaultResponseLost:
			dropResponse = true
		case FaultCut:
			w = &abortingWriter{ResponseWriter: w, remaining: f.Bytes}
		case FaultFrozen:
			r.Context().Value(connContextKey{}).(*conn).freezeAfter(f.Bytes)
		}
	}
	if !dropResponse {
		g.next.ServeHTTP(w, r)
		return
	}
	g.next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}
