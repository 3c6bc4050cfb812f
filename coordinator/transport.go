package coordinator

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// Connection limits.
const (
	// peerConnections is the maximum number of idle connections to a node.
	peerConnections = 4
	dialTimeout     = 600 * time.Millisecond
	// silenceTimeout is the time after which a connection is closed if the peer
	// does not acknowledge sent data: a connection can stop responding permanently
	// without a reset.
	silenceTimeout = time.Second
	idleTimeout    = 90 * time.Second
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// NewDialer returns a dialer whose connections are closed when the peer falls silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
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
}

// NewTransport returns an HTTP/1.1 transport that keeps up to maxIdle
// idle connections to each host and closes silent ones.
func NewTransport(maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext:         NewDialer().DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
