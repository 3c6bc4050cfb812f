package standin

import (
	"net/http"
	"time"
)

// gate applies the request faults of an endpoint.
type gate struct {
	endpoint *endpoint
	faults   *FaultSet
	next     http.Handler
}

// ServeHTTP applies the faults that hit the request around the handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lost := false
	for _, f := range g.faults.MatchRequest(g.endpoint.targets) {
		switch f.Kind {
		case FaultDown:
			panic(http.ErrAbortHandler)
		case FaultSlow:
			g.endpoint.wait(time.Duration(f.Delay))
		case FaultResponseLost:
			lost = true
		case FaultCut:
			w = &cutWriter{ResponseWriter: w, rest: f.Bytes}
		case FaultFrozen:
			r.Context().Value(connKey{}).(*conn).freezeAfter(f.Bytes)
		}
	}
	if !lost {
		g.next.ServeHTTP(w, r)
		return
	}
	g.next.ServeHTTP(&lostWriter{header: make(http.Header)}, r)
	panic(http.ErrAbortHandler)
}
