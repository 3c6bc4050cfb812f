package proxy

import (
	"net"
	"sync"

	"github.com/cactusreel/cactusreel/routing"
)

// workerConn is a connection that counts against a worker's limit until it is
// closed.
type workerConn struct {
	net.Conn
	worker *routing.Worker
	once   sync.Once
}

// Close closes the connection and ends its count.
func (c *workerConn) Close() error {
	c.once.Do(c.worker.ReleaseConnection)
	return c.Conn.Close()
}
