package standin

import (
	"net"
)

// faultListener wraps connections so that they can be frozen, and closes those
// beyond the endpoint's limit.
type faultListener struct {
	net.Listener
	owner *endpoint
}

// Accept returns the next connection within the limit.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, owner: l.owner}
		if l.owner.addConn(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}
