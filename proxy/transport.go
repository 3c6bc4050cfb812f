package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// maxIdlePerServer plus the 8 slots of a worker stays within
	// routing.OwnerConnections.
	maxIdlePerServer = 8
	// maxIdlePerPeer is about what a peer forwards at a time.
	maxIdlePerPeer = 64
	// maxIdleTotal bounds idle connections to all servers and peers.
	maxIdleTotal = 1024
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 30 * time.Second
	// maxResponseHeaderBytes bounds the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

var errConnectionLimit = errors.New("connection limit of the worker is reached")

// newTransport returns a transport for HTTP/1.1 without proxies, compression
// or redirects. It keeps at most idle connections to a receiver, none if 0.
func (p *Proxy) newTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		DisableKeepAlives:      idle == 0,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        maxIdleTime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// exchangeKey is the context key of the exchange that a dial is for.
type exchangeKey struct{}

// dial opens a connection. The transport may use it for another exchange with
// the same server, or keep it; either way it belongs to that server.
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
	// The dial can have outlasted the lease, so the right to send is checked
	// again before the connection is used.
	if err := ex.allowed(); err != nil {
		_ = counted.Close()
		return nil, err
	}
	return counted, nil
}
