package connbudget

import "time"

// phase is the state of a connection.
type phase int

const (
	// idle: no byte of a request has arrived.
	idle phase = iota
	// head: a part of a head has arrived.
	head
	// body: the head is complete, the body is being read.
	body
	// serving: the request is complete, its answer is not sent as a whole yet.
	serving
	// draining: the request has its answer, the server reads the rest of its body.
	draining
)

// Conn is the state of a connection in a Budget.
type Conn struct {
	// Owner is set and used by the caller only.
	Owner any
	phase phase
	// held is the memory that is charged besides Config.ConnectionBytes.
	held int64
	// lastActive is when the connection was opened or last received a byte.
	lastActive time.Duration
	// writing: the server waits for the client to read.
	writing bool
	// scans and progress count the scans and the bytes of the window under way.
	scans    int
	progress int64
	// closed: the caller was told to close the connection.
	closed bool
	// index is the position in Budget.conns.
	index int
}

func (c *Conn) enter(p phase) {
	c.phase = p
	c.resetWindow()
}

func (c *Conn) resetWindow() { c.scans, c.progress = 0, 0 }

// mayClose reports whether closing the connection leaves no doubt about its request.
func (c *Conn) mayClose() bool { return !c.closed && c.phase != serving }
