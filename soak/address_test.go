package soak_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process whose port goes to another socket before the process listens
// on it. Each listener takes a port that the kernel chooses, as other programs do.
func TestPortsOfProcessesStayFree(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for range 34 {
		p := newProcess(t, "", "c", "127.0.0.1:1", 2)
		t.Cleanup(p.storeProxy.close)
		addresses = append(addresses, p.callerAddress, p.readinessAddress, p.peerAddress)
	}
	for range 500 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}

// Guards against a failure whose cause is lost because what the process wrote, and how it
// ended, is not printed.
func TestReportOfAProcess(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "coordinator")
	is.NoErr(os.WriteFile(binary, []byte("#!/bin/sh\necho address already in use >&2\nexit 3\n"), 0o700))
	p := newProcess(t, binary, "c0", "127.0.0.1:1", 2)
	t.Cleanup(p.storeProxy.close)
	is.True(strings.Contains(p.report(), "c0 was not started"))
	p.start()
	<-p.exited
	is.True(strings.Contains(p.report(), "has exited: exit status 3, start 1"))
	is.True(strings.HasSuffix(p.report(), "address already in use"))
}
