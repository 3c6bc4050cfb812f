package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// maxIdlePerServer plus the 8 slots of a worker does not exceed
	// routing.MaxConnectionsPerOwner.
	maxIdlePerServer = 8
	// maxIdlePerPeer is about the number of requests that are forwarded to one
	// peer at a time.
	maxIdlePerPeer = 64
	// maxIdleTotal bounds the idle connections of one transport.
	maxIdleTotal = 1024
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 30 * time.Second
	// maxResponseHeaderBytes bounds the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

var errConnectionLimit = errors.New("connection limit of the worker is reached")

// newTransport returns a transport for HTTP/1.1 without proxies, compression
// or redirects. It keeps at most maxIdle idle connections to a receiver; with 0
// it opens a connection for every request.
func (p *Proxy) newTransport(maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DisableKeepAlives:      maxIdle == 0,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        maxIdleTime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// exchangeKey is the context key of the exchange that requests a connection.
type exchangeKey struct{}

// dial opens a connection. The transport may use it for another exchange with
// the same server or keep it idle, so it is counted for the server, not for the
// exchange.
func (p *Proxy) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Limits.ConnectTimeout)
	defer cancel()
	ex, _ := ctx.Value(exchangeKey{}).(*exchange)
	if ex == nil || !ex.hasSlot {
		return p.cfg.Dial(ctx, address)
	}
	worker := ex.slot.Server.Worker()
	if !worker.AcquireConnection() {
		return nil, errConnectionLimit
	}
	conn, err := p.cfg.Dial(ctx, address)
	if err != nil {
		worker.ReleaseConnection()
		return nil, err
	}
	counted := &workerConn{Conn: conn, worker: worker}
	// The lease may have expired during the dial, so the permission to send is
	// checked again before the connection is used.
	if err := ex.checkSend(); err != nil {
		_ = counted.Close()
		return nil, err
	}
	return counted, nil
}
