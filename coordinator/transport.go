package coordinator

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// Connection limits.
const (
	// peerConnections is the number of idle connections kept to a node.
	peerConnections = 4
	dialTimeout     = 600 * time.Millisecond
	// silentConnection ends a connection whose peer acknowledges nothing: a
	// connection can go silent for good without a reset.
	silenceTimeout = time.Second
	idleTimeout    = 90 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// NewTransport returns an HTTP/1.1 transport that keeps a number of idle
// connections to each host and ends silent ones.
func NewTransport(idle int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * silenceTimeout, Interval: silenceTimeout, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
