package connbudget

import (
	"cmp"
	"time"
)

// Budget holds the connections of a listener. It is not safe for concurrent use.
type Budget struct {
	cfg Config
	// conns are the open connections, including those that are being closed.
	conns []*Conn
	// bytes is the memory charged for conns; closing is the part of it that ends when the
	// connections that are being closed are.
	bytes, closing, peak int64
	// closingConns is the number of connections that are being closed.
	closingConns int
	// now is the time of the last event.
	now time.Duration
}

// New returns a budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Usage returns the use of the budget.
func (b *Budget) Usage() Usage {
	return Usage{Bytes: b.bytes, Peak: b.peak, Connections: len(b.conns)}
}

const (
	// idleGrace is how long a connection without a request is not taken for idle: its head may
	// be on its way.
	idleGrace = time.Second
	// stopGrace is how long a request whose bytes don't arrive is not taken for stopped: a lost
	// packet is sent again after a second or two.
	stopGrace = 3 * time.Second
)

// hardFactor is the ratio of the memory and of the connections that are charged at most, with
// those that are being closed, to the limits.
const hardFactor = 1.25

// Open adds a connection. If there are too many, it closes the one that has been inactive for
// longest. It returns nil if there is none to close, or if those that are being closed hold too
// much still.
func (b *Budget) Open(now time.Duration) (*Conn, []Closed) {
	b.now = now
	hard := int(hardFactor * float64(b.cfg.Connections))
	if len(b.conns) >= hard || float64(b.bytes+b.cfg.ConnectionBytes) > hardFactor*float64(b.cfg.Bytes) {
		return nil, nil
	}
	var closed []Closed
	if len(b.conns)-b.closingConns >= b.cfg.Connections {
		victim := b.leastActive()
		if victim == nil {
			return nil, nil
		}
		closed = b.selectVictim(closed, victim, NoConnections)
	}
	c := &Conn{lastActive: now, index: len(b.conns)}
	b.conns = append(b.conns, c)
	b.charge(b.cfg.ConnectionBytes)
	return c, b.makeRoom(closed)
}

// Remove removes a connection that is closed.
func (b *Budget) Remove(c *Conn) {
	if c.index < 0 {
		return
	}
	if c.closed {
		b.closing -= b.memory(c)
		b.closingConns--
	}
	b.bytes -= b.memory(c)
	last := b.conns[len(b.conns)-1]
	b.conns[c.index], last.index = last, c.index
	b.conns[len(b.conns)-1] = nil
	b.conns = b.conns[:len(b.conns)-1]
	c.held, c.index = 0, -1
}

// Received records that a connection has received bytes, and charges a head for memory.
func (b *Budget) Received(c *Conn, now time.Duration, bytes, headMemory int64) []Closed {
	b.now, c.lastActive = now, now
	switch c.phase {
	case idle:
		c.enter(head)
		return b.Hold(c, headMemory)
	case head:
		return b.Hold(c, headMemory)
	case body, draining:
		c.progress += bytes
	case serving:
	}
	return nil
}

// Hold charges a connection for memory.
func (b *Budget) Hold(c *Conn, memory int64) []Closed {
	if c.index < 0 {
		return nil
	}
	c.held += memory
	if c.closed {
		b.closing += memory
	}
	b.charge(memory)
	closed := b.makeRoom(nil)
	// Closed connections free their memory only when their goroutines run, so those that hold
	// more than a small request wait for nothing and are closed, too.
	if c.mayClose() && c.held > b.cfg.ConnectionBytes && float64(b.bytes) > hardFactor*float64(b.cfg.Bytes) {
		closed = b.selectVictim(closed, c, NoMemory)
	}
	return closed
}

// HeadRead records that a head is complete and whether a body follows. It reports whether the
// connection is being closed: the request must not be served then.
func (b *Budget) HeadRead(c *Conn, hasBody bool) (closing bool) {
	if hasBody {
		c.enter(body)
	} else {
		c.enter(serving)
	}
	return c.closed
}

// BodyRead records that a body is complete. It reports whether the connection is being closed: the
// request must not be served then.
func (b *Budget) BodyRead(c *Conn) (closing bool) {
	if c.phase == body {
		c.enter(serving)
	}
	return c.closed
}

// Served records that the handler of a request has returned. Its answer may not be sent yet, and
// the server may read the rest of a body that the handler has left.
func (b *Budget) Served(c *Conn) {
	b.release(c)
	if c.phase == body {
		c.enter(draining)
	}
}

// Idle records that a connection waits for its next request.
func (b *Budget) Idle(c *Conn, now time.Duration) {
	b.release(c)
	c.lastActive = now
	c.enter(idle)
}

// Writing records whether the server waits for the client to read.
func (b *Budget) Writing(c *Conn, writing bool) {
	c.writing = writing
	c.resetWindow()
}

// Scan returns the connections without enough progress. It is called at regular intervals; a
// process that was suspended counts no interval, because its clients could not make progress.
func (b *Budget) Scan() []Closed {
	var closed []Closed
	for _, c := range b.conns {
		if c.closed || c.phase != body && c.phase != draining && !c.writing {
			continue
		}
		if c.scans++; c.scans < b.cfg.Window {
			continue
		}
		if c.progress < b.cfg.WindowBytes {
			closed = b.selectVictim(closed, c, NoProgress)
		}
		c.resetWindow()
	}
	return closed
}

// makeRoom closes the connections that hold most until the memory of the others is within the
// limit.
func (b *Budget) makeRoom(closed []Closed) []Closed {
	for b.bytes-b.closing > b.cfg.Bytes {
		victim := b.largest()
		if victim == nil {
			break
		}
		closed = b.selectVictim(closed, victim, NoMemory)
	}
	return closed
}

// largest returns the connection to close for lack of memory: of the first class that has any, the
// one that holds most, and of several the one that has been inactive for longest.
func (b *Budget) largest() *Conn {
	var found *Conn
	for _, c := range b.conns {
		if c.mayClose() && (found == nil || b.closesBefore(c, found)) {
			found = c
		}
	}
	return found
}

func (b *Budget) closesBefore(c, other *Conn) bool {
	return cmp.Or(
		cmp.Compare(b.class(c), b.class(other)), -cmp.Compare(b.weight(c), b.weight(other)), cmp.Compare(c.lastActive, other.lastActive),
	) < 0
}

// class orders connections by how little they progress: requests that have stopped, idle
// connections, the others.
func (b *Budget) class(c *Conn) int {
	inactive := b.now - c.lastActive
	switch {
	case c.phase != idle && inactive >= stopGrace:
		return 0
	case c.phase == idle && inactive >= idleGrace:
		return 1
	}
	return 2
}

// weight is what a connection holds, at least as much as an idle one takes: small requests are not
// closed before idle connections.
func (b *Budget) weight(c *Conn) int64 { return max(c.held, b.cfg.ConnectionBytes) }

// leastActive returns the connection that has been inactive for longest.
func (b *Budget) leastActive() *Conn {
	var found *Conn
	for _, c := range b.conns {
		if c.mayClose() && (found == nil || c.lastActive < found.lastActive) {
			found = c
		}
	}
	return found
}

// selectVictim adds a connection to those that the caller closes.
func (b *Budget) selectVictim(closed []Closed, c *Conn, reason Reason) []Closed {
	c.closed = true
	b.closing += b.memory(c)
	b.closingConns++
	return append(closed, Closed{Conn: c, Reason: reason})
}

func (b *Budget) memory(c *Conn) int64 { return b.cfg.ConnectionBytes + c.held }

func (b *Budget) charge(memory int64) {
	b.bytes += memory
	b.peak = max(b.peak, b.bytes)
}

func (b *Budget) release(c *Conn) {
	if c.index < 0 {
		return
	}
	b.bytes -= c.held
	if c.closed {
		b.closing -= c.held
	}
	c.held = 0
}
