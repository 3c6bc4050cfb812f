package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// conn is a server connection that can be frozen: it then takes what is
// written, but sends nothing, and stays open until the peer or the endpoint
// closes it.
type conn struct {
	net.Conn
	owner *endpoint
	// number is that of the endpoint's record of connections.
	number int

	mu sync.Mutex
	// armed tells that the connection freezes once allowance bytes are sent.
	armed     bool
	allowance int
}

// freezeAfter freezes the connection after n more bytes.
func (c *conn) freezeAfter(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed {
		n = min(n, c.allowance)
	}
	c.armed = true
	c.allowance = n
}

func (c *conn) frozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.armed && c.allowance == 0
}

// Write sends data, or drops what is beyond the allowance of a frozen connection.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	rest := data
	if c.armed {
		rest = data[:min(len(data), c.allowance)]
		c.allowance -= len(rest)
	}
	c.mu.Unlock()
	if len(rest) == 0 {
		return len(data), nil
	}
	n, err := c.Conn.Write(rest)
	if err != nil {
		return n, err
	}
	return len(data), nil
}

// Close closes the connection unless it is frozen. A frozen connection keeps
// its place until the peer closes it.
func (c *conn) Close() error {
	if !c.frozen() {
		return c.closeNow()
	}
	err := c.SetDeadline(time.Time{})
	if err != nil {
		return c.closeNow()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeNow()
	}()
	return nil
}

func (c *conn) closeNow() error {
	c.owner.removeConn(c)
	return c.Conn.Close()
}
