package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// listenBacklog is the maximum length of the accept queue, which the kernel reduces to
// its own limit.
const listenBacklog = 4096

// reservedPort is a socket that is bound but does not listen. Connections to it
// are refused, and no other process can get the port.
type reservedPort struct {
	fd int
	// address is the IP address and port.
	address string
}

// reservePort binds an IPv4 address and port. Port 0 selects a free port.
func reservePort(address string) (*reservedPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !parsed.Addr().Is4() {
		return nil, fmt.Errorf("%s is not an IPv4 address", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	reserved := &reservedPort{fd: fd}
	// Connections of the closed listener may still be in TIME_WAIT.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err != nil {
		reserved.close()
		return nil, os.NewSyscallError("setsockopt", err)
	}
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	if err != nil {
		reserved.close()
		return nil, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		reserved.close()
		return nil, os.NewSyscallError("getsockname", err)
	}
	name, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		reserved.close()
		return nil, fmt.Errorf("%s is bound to an address of another kind", address)
	}
	reserved.address = netip.AddrPortFrom(parsed.Addr(), uint16(name.Port)).String()
	return reserved, nil
}

// startListening turns the socket into a listener and closes the reservation.
func (r *reservedPort) startListening() (net.Listener, error) {
	err := syscall.Listen(r.fd, listenBacklog)
	if err != nil {
		r.close()
		return nil, os.NewSyscallError("listen", err)
	}
	file := os.NewFile(uintptr(r.fd), "listener")
	// FileListener duplicates the descriptor.
	defer file.Close()
	return net.FileListener(file)
}

func (r *reservedPort) close() {
	_ = syscall.Close(r.fd)
}
