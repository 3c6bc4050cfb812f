package peer

import (
	"net"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// Timeouts and connection limits of the client for one peer.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = 10 * time.Second
	maxConnsPerPeer     = 16
	maxIdleConnsPerPeer = 4
	responseTimeout     = 5 * time.Second
)

// Address identifies an entry VM and its peer listener.
type Address struct {
	VM         string
	DataCentre string
	// HostPort is the IP address and port of the peer listener.
	HostPort string
}

// Client calls one peer. It is safe for concurrent use.
type Client struct {
	peerpb.Peer
	Address Address
}

// NewTransport returns the HTTP transport that all clients of a process share.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		MaxConnsPerHost:       maxConnsPerPeer,
		MaxIdleConnsPerHost:   maxIdleConnsPerPeer,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseTimeout,
	}
}

// NewClient returns a client of the peer at an address.
func NewClient(address Address, transport http.RoundTripper) *Client {
	httpClient := &http.Client{Transport: transport}
	return &Client{
		Peer:    peerpb.NewPeerProtobufClient("http://"+address.HostPort, httpClient),
		Address: address,
	}
}
