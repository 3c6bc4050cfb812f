package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link carries the connections to one entry VM from the other data centres. It
// can be cut: open connections break, and new ones are closed at once.
type link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newLink(t *testing.T, address, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{target: target, listener: listener, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close() })
	go l.accept()
	return l
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// carry connects a connection to the target until one end closes it.
func (l *link) carry(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !l.add(from, to) {
		return
	}
	defer l.remove(from, to)
	ended := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(to, from); ended <- struct{}{} }()
	go func() { _, _ = io.Copy(from, to); ended <- struct{}{} }()
	<-ended
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	for _, c := range conns {
		l.open[c] = true
	}
	return true
}

func (l *link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.open, c)
	}
}

// setCut cuts or restores the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.open {
		_ = c.Close()
	}
}
