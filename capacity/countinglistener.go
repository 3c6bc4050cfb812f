package capacity

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of the connections that it accepts, in both
// directions, without the headers of TCP and IP.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}
