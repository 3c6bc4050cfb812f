package boundedhttp

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/connbudget"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	// name is that of metrics and log lines.
	name    string
	started time.Time

	mu     sync.Mutex
	budget *connbudget.Budget
	report Report
}

// Report says what a listener has closed since the last report.
type Report struct {
	// Closed counts the closed connections by reason. A connection that was not taken counts as
	// connbudget.NoConnections.
	Closed map[connbudget.Reason]int
	// LastAddress is the address of the client that was closed last.
	LastAddress string
}

// NewListener returns a listener that keeps the connections of l within a budget.
func NewListener(name string, l net.Listener, cfg connbudget.Config) *Listener {
	return &Listener{
		Listener: l, name: name, started: time.Now(), budget: connbudget.New(cfg),
		report: Report{Closed: make(map[connbudget.Reason]int)},
	}
}

// Accept implements net.Listener. It returns an error only when the listener is closed: any other
// failure, such as a lack of descriptors, passes.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.open(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// open returns nil if the connection is not taken.
func (l *Listener) open(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	state, closed := l.budget.Open(l.now())
	if state == nil {
		l.note(connbudget.NoConnections, accepted)
		l.mu.Unlock()
		return nil
	}
	c.state, state.Owner = state, c
	l.mu.Unlock()
	l.close(closed)
	return c
}

// Scan closes the connections without enough progress.
func (l *Listener) Scan() {
	l.mu.Lock()
	closed := l.budget.Scan()
	l.mu.Unlock()
	l.close(closed)
}

// Usage returns the use of the budget.
func (l *Listener) Usage() connbudget.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Usage()
}

// TakeReport returns what was closed since the last call.
func (l *Listener) TakeReport() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	l.report = Report{Closed: make(map[connbudget.Reason]int)}
	return r
}

// close closes the sockets of connections. The HTTP server removes them when its reads fail.
func (l *Listener) close(closed []connbudget.Closed) {
	if len(closed) == 0 {
		return
	}
	l.mu.Lock()
	for _, victim := range closed {
		l.note(victim.Reason, victim.Conn.Owner.(*conn).Conn)
	}
	l.mu.Unlock()
	for _, victim := range closed {
		_ = victim.Conn.Owner.(*conn).Conn.Close()
	}
}

// note needs l.mu.
func (l *Listener) note(r connbudget.Reason, c net.Conn) {
	l.report.Closed[r]++
	l.report.LastAddress = c.RemoteAddr().String()
}

func (l *Listener) now() time.Duration { return time.Since(l.started) }
