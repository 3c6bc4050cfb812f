package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout is the time within which a client must send the headers of a
// request.
const readHeaderTimeout = 10 * time.Second

type connContextKey struct{}

// endpoint is an HTTP server with its own loopback address. It keeps the address
// while a fault has closed its listener.
type endpoint struct {
	// targets are the fault targets that select the endpoint.
	targets []string
	address string
	server  *http.Server
	// connLimit is the maximum number of open connections; 0 means no limit.
	connLimit int
	// onConnOpened and onConnClosed, if not nil, record connections. The value
	// that onConnOpened returns is passed to onConnClosed.
	onConnOpened func() int
	onConnClosed func(recordIndex int)
	// stopped is closed by close.
	stopped    chan struct{}
	serveGroup sync.WaitGroup

	// faultMu serialises setDown and close.
	faultMu sync.Mutex

	mu sync.Mutex
	// listener is nil while the endpoint is down.
	listener     net.Listener
	conns        map[*conn]struct{}
	peakConns    int
	refusedConns int64
	serveErr     error
	closed       bool
	// reserved holds the port until the endpoint is closed, so that it stays that of
	// the endpoint when the listener is closed.
	reserved *reservedPort
}

// newEndpoint returns an endpoint that does not listen yet.
func newEndpoint(targets []string, faults *FaultSet, handler http.Handler) *endpoint {
	e := &endpoint{
		targets: targets,
		stopped: make(chan struct{}),
		conns:   make(map[*conn]struct{}),
	}
	e.server = &http.Server{
		Handler:           &faultHandler{endpoint: e, faults: faults, next: handler},
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return e
}

// listen starts serving at address. Port 0 selects a free port.
func (e *endpoint) listen(address string) error {
	port, err := reservePort(address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", e.targets[0], err)
	}
	e.address = port.address
	return e.listenAt(port)
}

// listenAt starts serving at a reserved port, and reserves it once more.
func (e *endpoint) listenAt(port *reservedPort) error {
	next, err := reservePort(port.address)
	if err != nil {
		port.close()
		return fmt.Errorf("reserve the address of %s: %w", e.targets[0], err)
	}
	listener, err := port.startListening()
	if err != nil {
		next.close()
		return fmt.Errorf("listen for %s: %w", e.targets[0], err)
	}
	e.mu.Lock()
	e.reserved = next
	e.mu.Unlock()
	e.serve(listener)
	return nil
}

func (e *endpoint) serve(listener net.Listener) {
	e.mu.Lock()
	e.listener = listener
	e.mu.Unlock()
	e.serveGroup.Add(1)
	go func() {
		defer e.serveGroup.Done()
		err := e.server.Serve(&faultListener{Listener: listener, endpoint: e})
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			e.mu.Lock()
			e.serveErr = err
			e.mu.Unlock()
		}
	}()
}

// setDown closes the listener and all connections that are not frozen, or
// listens at the same address again. It does nothing if the endpoint is already
// in the requested state or closed.
func (e *endpoint) setDown(down bool) error {
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.mu.Lock()
	unchanged := e.closed || down == (e.listener == nil)
	e.mu.Unlock()
	if unchanged {
		return nil
	}
	if down {
		e.closeListener()
		e.closeConns(false)
		return nil
	}
	e.mu.Lock()
	reserved := e.reserved
	e.reserved = nil
	e.mu.Unlock()
	return e.listenAt(reserved)
}

// freeze freezes all open connections.
func (e *endpoint) freeze() {
	for _, c := range e.openConns() {
		c.freezeAfter(0)
	}
}

// close closes the endpoint and all its connections permanently. Running
// handlers stop waiting, but may return after close does.
func (e *endpoint) close() error {
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.mu.Lock()
	e.closed = true
	reserved := e.reserved
	e.reserved = nil
	e.mu.Unlock()
	if reserved != nil {
		reserved.close()
	}
	close(e.stopped)
	e.closeListener()
	e.closeConns(true)
	err := e.server.Close()
	if errors.Is(err, net.ErrClosed) {
		// The server closes the listener a second time.
		err = nil
	}
	e.serveGroup.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(err, e.serveErr)
}

func (e *endpoint) closeListener() {
	e.mu.Lock()
	listener := e.listener
	e.listener = nil
	e.mu.Unlock()
	if listener != nil {
		// The listener is closed even if Close returns an error.
		_ = listener.Close()
	}
}

func (e *endpoint) closeConns(includeFrozen bool) {
	for _, c := range e.openConns() {
		if includeFrozen || !c.frozen() {
			_ = c.closeImmediately()
		}
	}
}

func (e *endpoint) openConns() []*conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

// addConn registers a new connection. It returns false, and counts the
// connection as refused, if the limit is reached.
func (e *endpoint) addConn(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connLimit > 0 && len(e.conns) >= e.connLimit {
		e.refusedConns++
		return false
	}
	e.conns[c] = struct{}{}
	if e.onConnOpened != nil {
		c.recordIndex = e.onConnOpened()
	}
	e.peakConns = max(e.peakConns, len(e.conns))
	return true
}

func (e *endpoint) removeConn(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, tracked := e.conns[c]
	delete(e.conns, c)
	if tracked && e.onConnClosed != nil {
		e.onConnClosed(c.recordIndex)
	}
}

// connCounts returns the current and the highest number of open connections,
// and the number of refused connections.
func (e *endpoint) connCounts() (open, peak int, refused int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns), e.peakConns, e.refusedConns
}

// wait waits for d or until the endpoint is closed. It continues to wait when the
// client disconnects.
func (e *endpoint) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.stopped:
	case <-timer.C:
	}
}
