package soak_test

import (
	"net"
	"sync"
	"time"
)

// proxy is a TCP proxy on loopback that injects connection faults.
type proxy struct {
	// listenAddress is the address of listener.
	listenAddress string
	target        string
	mu            sync.Mutex
	// listener is closed while connections are refused.
	listener net.Listener
	// blockRequests delays bytes to the target until the block is lifted,
	// blockResponses those from it, as a network partition does.
	blockRequests, blockResponses bool
	delay                         time.Duration
	conns                         map[net.Conn]bool
	changed                       chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, listenAddress: l.Addr().String(), target: target, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// refuse closes all connections and refuses new ones for a time.
func (p *proxy) refuse(duration time.Duration) error {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
	time.Sleep(duration)
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(out, in, func() bool { return p.blockRequests })
		go p.forward(in, out, func() bool { return p.blockResponses })
	}
}

// forward copies bytes of one direction while it is not blocked.
func (p *proxy) forward(to, from net.Conn, blocked func() bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitUnblocked(blocked)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUnblocked waits until the direction is not blocked, and then for the delay
// of the proxy.
func (p *proxy) waitUnblocked(blocked func() bool) {
	for {
		p.mu.Lock()
		isBlocked, delay, changed := blocked(), p.delay, p.changed
		p.mu.Unlock()
		if !isBlocked {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.update(func() {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

func (p *proxy) clearFaults() {
	p.update(func() { p.blockRequests, p.blockResponses, p.delay = false, false, 0 })
}

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.clearFaults()
	p.reset()
}
