package soak_test

import (
	"net"
	"sync"
	"time"
)

// link is a loopback proxy in front of one address.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// silent holds up bytes to the target, deaf bytes from it, as a cut does.
	silent, deaf bool
	delay        time.Duration
	conns        map[net.Conn]bool
	changed      chan struct{}
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		k.mu.Lock()
		k.conns[in], k.conns[out] = true, true
		k.mu.Unlock()
		go k.copy(out, in, func() bool { return k.silent })
		go k.copy(in, out, func() bool { return k.deaf })
	}
}

// copy passes bytes on while the link lets them through.
func (k *link) copy(to, from net.Conn, held func() bool) {
	defer k.forget(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !k.pass(held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until the link lets bytes through. It returns false when the
// connections were reset meanwhile.
func (k *link) pass(held func() bool) bool {
	for {
		k.mu.Lock()
		wait, delay, changed := held(), k.delay, k.changed
		k.mu.Unlock()
		if !wait {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

func (k *link) forget(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(k.conns, c)
	}
}

func (k *link) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
	close(k.changed)
	k.changed = make(chan struct{})
}

// reset ends all connections with a reset.
func (k *link) reset() {
	k.set(func() {
		for c := range k.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

func (k *link) heal() { k.set(func() { k.silent, k.deaf, k.delay = false, false, 0 }) }

func (k *link) close() {
	_ = k.listener.Close()
	k.heal()
	k.reset()
}
