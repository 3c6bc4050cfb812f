package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// conn is a server connection that can be frozen. A frozen connection discards
// what is written to it and stays open until the peer or the endpoint closes it.
type conn struct {
	net.Conn
	endpoint *endpoint
	// recordIndex is the value that the endpoint's onConnOpened returned.
	recordIndex int

	mu sync.Mutex
	// freezing means that the connection is frozen after bytesLeft more bytes.
	freezing  bool
	bytesLeft int
}

// freezeAfter freezes the connection after n more bytes, or after fewer if an
// earlier call has set a lower limit.
func (c *conn) freezeAfter(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freezing {
		n = min(n, c.bytesLeft)
	}
	c.freezing = true
	c.bytesLeft = n
}

func (c *conn) frozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freezing && c.bytesLeft == 0
}

// Write sends data. On a freezing connection it discards what exceeds bytesLeft
// and still reports that all data was written.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	toSend := data
	if c.freezing {
		toSend = data[:min(len(data), c.bytesLeft)]
		c.bytesLeft -= len(toSend)
	}
	c.mu.Unlock()
	if len(toSend) == 0 {
		return len(data), nil
	}
	n, err := c.Conn.Write(toSend)
	if err != nil {
		return n, err
	}
	return len(data), nil
}

// Close closes the connection unless it is frozen. A frozen connection counts as
// open until the peer closes it.
func (c *conn) Close() error {
	if !c.frozen() {
		return c.closeImmediately()
	}
	err := c.SetDeadline(time.Time{})
	if err != nil {
		return c.closeImmediately()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeImmediately()
	}()
	return nil
}

func (c *conn) closeImmediately() error {
	c.endpoint.removeConn(c)
	return c.Conn.Close()
}
