package standin

import (
	"net"
)

// faultListener wraps accepted connections so that they can be frozen. It closes
// connections that exceed the endpoint's limit.
type faultListener struct {
	net.Listener
	endpoint *endpoint
}

// Accept implements net.Listener. It returns the next connection that does not
// exceed the limit.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, endpoint: l.endpoint}
		if l.endpoint.addConn(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}
