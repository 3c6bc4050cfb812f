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

// readHeaderTimeout closes connections whose request head does not arrive.
const readHeaderTimeout = 10 * time.Second

type connKey struct{}

// endpoint is one HTTP server with its own loopback address, which it keeps
// while its listener is closed by a fault.
type endpoint struct {
	// targets are the names by which faults find the endpoint.
	targets []string
	address string
	server  *http.Server
	// limit bounds the open connections; 0 stands for no limit.
	limit int
	// opened and closed, if not nil, record connections; opened returns the
	// number that closed gets.
	opened func() int
	closed func(number int)
	// stopped is closed when the endpoint closes for good.
	stopped chan struct{}
	serving sync.WaitGroup

	// faultMu makes changes of setDown and close exclusive.
	faultMu sync.Mutex

	mu sync.Mutex
	// listener is nil while the endpoint is down.
	listener      net.Listener
	conns         map[*conn]struct{}
	maxConns      int
	refused       int64
	serveErr      error
	closedForGood bool
	// reserved keeps the port while the endpoint is down.
	reserved *reservedPort
}

// newEndpoint returns an endpoint that is not open yet.
func newEndpoint(targets []string, faults *FaultSet, handler http.Handler) *endpoint {
	e := &endpoint{
		targets: targets,
		stopped: make(chan struct{}),
		conns:   make(map[*conn]struct{}),
	}
	e.server = &http.Server{
		Handler:           &gate{endpoint: e, faults: faults, next: handler},
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return e
}

// listen opens the endpoint at address, which may have port 0.
func (e *endpoint) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", e.targets[0], err)
	}
	e.address = listener.Addr().String()
	e.serve(listener)
	return nil
}

func (e *endpoint) serve(listener net.Listener) {
	e.mu.Lock()
	e.listener = listener
	e.mu.Unlock()
	e.serving.Add(1)
	go func() {
		defer e.serving.Done()
		err := e.server.Serve(&faultListener{Listener: listener, owner: e})
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			e.mu.Lock()
			e.serveErr = err
			e.mu.Unlock()
		}
	}()
}

// setDown closes the listener and all connections but frozen ones, or listens
// at the same address again. It does nothing if the endpoint is already so.
func (e *endpoint) setDown(down bool) error {
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.mu.Lock()
	unchanged := e.closedForGood || down == (e.listener == nil)
	e.mu.Unlock()
	if unchanged {
		return nil
	}
	if down {
		return e.goDown()
	}
	e.mu.Lock()
	reserved := e.reserved
	e.reserved = nil
	e.mu.Unlock()
	listener, err := reserved.listen()
	if err != nil {
		return fmt.Errorf("listen again for %s: %w", e.targets[0], err)
	}
	e.serve(listener)
	return nil
}

func (e *endpoint) goDown() error {
	e.closeListener()
	e.closeConns(false)
	reserved, err := reservePort(e.address)
	if err != nil {
		return fmt.Errorf("reserve the address of %s: %w", e.targets[0], err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserved = reserved
	return nil
}

// freeze freezes all open connections.
func (e *endpoint) freeze() {
	for _, c := range e.open() {
		c.freezeAfter(0)
	}
}

// close ends the endpoint and its connections for good. Running handlers stop
// waiting, but may end later.
func (e *endpoint) close() error {
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	e.mu.Lock()
	e.closedForGood = true
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
		// The server also closes the listener that is closed already.
		err = nil
	}
	e.serving.Wait()
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
		// The listener is closed in any case; an error changes nothing.
		_ = listener.Close()
	}
}

func (e *endpoint) closeConns(frozenToo bool) {
	for _, c := range e.open() {
		if frozenToo || !c.frozen() {
			_ = c.closeNow()
		}
	}
}

func (e *endpoint) open() []*conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

// addConn counts a new connection and reports whether it is within the limit.
func (e *endpoint) addConn(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit > 0 && len(e.conns) >= e.limit {
		e.refused++
		return false
	}
	e.conns[c] = struct{}{}
	if e.opened != nil {
		c.number = e.opened()
	}
	e.maxConns = max(e.maxConns, len(e.conns))
	return true
}

func (e *endpoint) removeConn(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.conns[c]
	delete(e.conns, c)
	if known && e.closed != nil {
		e.closed(c.number)
	}
}

// connCounts returns the number of open connections, their highest number so
// far, and how many were refused.
func (e *endpoint) connCounts() (open, highest int, refused int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns), e.maxConns, e.refused
}

// wait waits for d or until the endpoint stops, but not for the peer.
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
