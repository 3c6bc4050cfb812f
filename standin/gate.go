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
	for _, f := range g.faults.Take(g.endpoint.targets) {
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

// lostWriter drops a response.
type lostWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (l *lostWriter) Header() http.Header {
	return l.header
}

// Write implements http.ResponseWriter.
func (l *lostWriter) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader implements http.ResponseWriter.
func (l *lostWriter) WriteHeader(int) {}

// cutWriter sends the first bytes of a response body and then closes the
// connection.
type cutWriter struct {
	http.ResponseWriter
	rest int
}

// Unwrap lets http.ResponseController flush.
func (c *cutWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

// Write implements http.ResponseWriter.
func (c *cutWriter) Write(data []byte) (int, error) {
	if len(data) <= c.rest {
		c.rest -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.rest])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
