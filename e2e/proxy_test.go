package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// proxy forwards the connections to one entry VM from the other data centres.
// While partitioned, it has closed the open connections and closes new ones at
// once.
type proxy struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	partitioned bool
	open        map[net.Conn]bool
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{target: target, listener: listener, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close() })
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward forwards a connection to the target until either side closes it.
func (p *proxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !p.track(from, to) {
		return
	}
	defer p.untrack(from, to)
	ended := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(to, from); ended <- struct{}{} }()
	go func() { _, _ = io.Copy(from, to); ended <- struct{}{} }()
	<-ended
}

func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned {
		return false
	}
	for _, c := range conns {
		p.open[c] = true
	}
	return true
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
	}
}

// setPartitioned starts or ends a network partition.
func (p *proxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	if !partitioned {
		return
	}
	for c := range p.open {
		_ = c.Close()
	}
}
