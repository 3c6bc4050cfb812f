package proxy

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// maxIdlePerServer plus the 8 slots of a worker stays within
	// routing.OwnerConnections.
	maxIdlePerServer = 8
	// maxIdleTotal bounds idle connections to all servers and peers.
	maxIdleTotal = 1024
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 30 * time.Second
	// maxResponseHeaderBytes bounds the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

// newTransport returns a transport for HTTP/1.1 without proxies, compression
// or redirects.
func (p *Proxy) newTransport(reuse bool) *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        maxIdleTime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (p *Proxy) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return p.cfg.Dial(ctx, address)
}
