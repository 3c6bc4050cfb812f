package boundedhttp

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cactusreel/cactusreel/connbudget"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Attach has a server report the state of its requests to the listener that it serves.
func (l *Listener) Attach(s *http.Server) {
	s.Handler = &handler{next: s.Handler}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.update(func(b *connbudget.Budget) []connbudget.Closed {
				b.Idle(c.state, l.now())
				return nil
			})
		}
	}
}

// handler tells the budget where a request stands.
type handler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	hasBody, closing := r.ContentLength != 0, false
	c.update(func(b *connbudget.Budget) []connbudget.Closed {
		closing = b.HeadRead(c.state, hasBody)
		return nil
	})
	if closing {
		// The request was in the server's buffer when its connection was closed.
		panic(http.ErrAbortHandler)
	}
	defer c.update(func(b *connbudget.Budget) []connbudget.Closed {
		b.Served(c.state)
		return nil
	})
	if hasBody {
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	h.next.ServeHTTP(w, r)
}

// body is a request body whose bytes are charged as they are read.
type body struct {
	io.ReadCloser
	conn *conn
	// streamed: at most streamedBytes of the body are held at a time.
	streamed bool
	held     int
}

// streamedBytes is the most that a handler holds of a body that it streams.
const streamedBytes = 64 << 10

// Streamed marks the bodies of a handler's requests as streamed: it holds up to 64 KiB of them.
func Streamed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b, ok := r.Body.(*body); ok {
			b.streamed = true
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements io.Reader. A body whose connection is being closed has no end, even if its last
// bytes are in the server's buffer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	charged := n
	if b.streamed {
		charged = min(n, streamedBytes-b.held)
	}
	if charged > 0 {
		b.held += charged
		b.conn.hold(charged)
	}
	if err == io.EOF {
		closing := false
		b.conn.update(func(budget *connbudget.Budget) []connbudget.Closed {
			closing = budget.BodyRead(b.conn.state)
			return nil
		})
		if closing {
			return 0, net.ErrClosed
		}
	}
	return n, err
}
