package proxy

import (
	"context"
	"net/http"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// Proxy serves the request path of one entry VM.
type Proxy struct {
	cfg      Config
	inFlight *inFlight
	// serverTransport and peerTransport reuse connections; they serve
	// idempotent requests only.
	serverTransport, peerTransport *http.Transport
	// singleUseTransport opens a new connection for every request. net/http
	// retries a request automatically only on a reused connection, so it never
	// does so here.
	singleUseTransport *http.Transport
}

// New returns a Proxy, or an error if a required field of the configuration is
// missing.
func New(cfg Config) (*Proxy, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	p := &Proxy{cfg: cfg, inFlight: newInFlight()}
	p.serverTransport = p.newTransport(maxIdlePerServer)
	p.peerTransport = p.newTransport(maxIdlePerPeer)
	p.singleUseTransport = p.newTransport(0)
	return p, nil
}

// Handler serves callers at /s/<service>/<path>.
func (p *Proxy) Handler() http.Handler {
	return http.HandlerFunc(p.serveCaller)
}

// PeerHandler serves requests that other entry VMs forward, at the same paths.
func (p *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(p.servePeer)
}

// IssueID returns a new request id, for POST /v1/request-ids. It returns an
// error with code result.NotReady if no home is known.
func (p *Proxy) IssueID() (string, error) {
	id, ok := p.issueRequestID()
	if !ok {
		return "", result.Errorf(result.NotReady, "no owner of a cell is known")
	}
	return id.Text, nil
}

func (p *Proxy) issueRequestID() (dedup.ID, bool) {
	cell, ok := p.cfg.Directory.FreshCell(p.cfg.Random())
	if !ok {
		return dedup.ID{}, false
	}
	home, ok := p.cfg.Directory.Home(cell)
	if !ok {
		return dedup.ID{}, false
	}
	text := dedup.IssueID(cell, home.Term, p.cfg.Random(), p.cfg.Random())
	return dedup.ID{Text: text, Cell: cell, Term: home.Term, Fresh: true}, true
}

// InProgress returns the number of requests of callers and peers in progress.
func (p *Proxy) InProgress() int {
	return int(p.inFlight.count.Load())
}

// Drain rejects new requests and waits until none is in progress or ctx ends.
// It returns the number of requests still in progress, which are cut off when
// the process exits.
func (p *Proxy) Drain(ctx context.Context) int {
	return p.inFlight.drain(ctx)
}

// Close closes idle connections. Requests in progress are not affected.
func (p *Proxy) Close() {
	p.serverTransport.CloseIdleConnections()
	p.peerTransport.CloseIdleConnections()
	p.singleUseTransport.CloseIdleConnections()
}
