package boundedhttp

import (
	"bytes"
	"net"

	"github.com/cactusreel/cactusreel/connbudget"
)

const (
	// ConnectionBytes is the memory of a connection without a request: the stacks of its
	// goroutines and its buffers.
	ConnectionBytes = 32 << 10
	// headLineBytes is the memory of a header line besides its bytes: an entry of the map and
	// its slice.
	headLineBytes = 128
	// bodyFactor is the ratio of the memory of a body to its bytes: a buffer that grows while it
	// is read, and what is decoded from it.
	bodyFactor = 3
	// writeBytes is the largest piece of an answer whose progress is measured.
	writeBytes = 64 << 10
)

// conn is a connection that counts what it holds.
type conn struct {
	net.Conn
	listener *Listener
	state    *connbudget.Conn
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		headMemory := int64(n + headLineBytes*bytes.Count(p[:n], []byte{'\n'}))
		c.update(func(b *connbudget.Budget) []connbudget.Closed {
			return b.Received(c.state, c.listener.now(), int64(n), headMemory)
		})
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writeBytes, len(p))]
		c.setWriting(true)
		n, err := c.Conn.Write(piece)
		c.setWriting(false)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.update(func(b *connbudget.Budget) []connbudget.Closed {
		b.Remove(c.state)
		return nil
	})
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, as the HTTP server does before it closes a connection
// whose client still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) setWriting(writing bool) {
	c.update(func(b *connbudget.Budget) []connbudget.Closed {
		b.Writing(c.state, writing)
		return nil
	})
}

// hold charges the connection for bytes of a body.
func (c *conn) hold(bytes int) {
	c.update(func(b *connbudget.Budget) []connbudget.Closed { return b.Hold(c.state, int64(bytes)*bodyFactor) })
}

// update changes the budget and closes the connections that it names.
func (c *conn) update(change func(b *connbudget.Budget) []connbudget.Closed) {
	c.listener.mu.Lock()
	closed := change(c.listener.budget)
	c.listener.mu.Unlock()
	c.listener.close(closed)
}
