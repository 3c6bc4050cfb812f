package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"
)

const (
	// GuardPort is the port that is bound while a Host is held.
	GuardPort = 9999
	// firstPort is the first port that a Host gives out, endPort the one after the
	// last.
	firstPort, endPort = 10000, 32768
	// maxAttempts is the number of IP addresses that Hold tries.
	maxAttempts = 100
)

// Host is a loopback IP address that is reserved for its holder.
type Host struct {
	ip       string
	guard    net.Listener
	nextPort int
}

// Hold reserves a loopback IP address until Close. It returns an error if all the
// addresses that it tried are held, or if one can't be bound at all.
func Hold() (*Host, error) {
	for range maxAttempts {
		h, err := hold(randomIP())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		return h, err
	}
	return nil, fmt.Errorf("%d loopback addresses are held by other processes", maxAttempts)
}

// randomIP returns an address of 127.64.0.0/10, which has no address that other
// programs use by default.
func randomIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
}

func hold(ip string) (*Host, error) {
	guard, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(GuardPort)))
	if err != nil {
		return nil, fmt.Errorf("hold %s: %w", ip, err)
	}
	return &Host{ip: ip, guard: guard, nextPort: firstPort}, nil
}

// Address returns an address of the host that was not returned before. Ports that
// a listener on all addresses of the machine uses are left out.
func (h *Host) Address() (string, error) {
	for h.nextPort < endPort {
		address := net.JoinHostPort(h.ip, strconv.Itoa(h.nextPort))
		h.nextPort++
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", fmt.Errorf("choose a port of %s: %w", h.ip, err)
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port on %s", h.ip)
}

// Close ends the reservation. The holder's processes have to be stopped before.
func (h *Host) Close() error { return h.guard.Close() }
