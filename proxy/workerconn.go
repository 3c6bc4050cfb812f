package proxy

import (
	"net"
	"sync"

	"github.com/cactusreel/cactusreel/routing"
)

// workerConn is a connection that counts towards the worker's connection limit
// until it is closed.
type workerConn struct {
	net.Conn
	worker      *routing.Worker
	releaseOnce sync.Once
}

// Close closes the connection and stops counting it.
func (c *workerConn) Close() error {
	c.releaseOnce.Do(c.worker.ReleaseConnection)
	return c.Conn.Close()
}
