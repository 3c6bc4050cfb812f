package loopback

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against two holders of one address, and against an address that stays held.
func TestHostHasOneHolder(t *testing.T) {
	is := is.New(t)
	h, err := Hold()
	is.NoErr(err)
	_, err = hold(h.ip)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	is.NoErr(h.Close())
	again, err := hold(h.ip)
	is.NoErr(err)
	is.NoErr(again.Close())
}

// Guards against an address that is given out twice, or that another listener has.
func TestAddressesOfAHostAreFreeAndDiffer(t *testing.T) {
	is := is.New(t)
	h, err := Hold()
	is.NoErr(err)
	defer func() { is.NoErr(h.Close()) }()
	first, err := h.Address()
	is.NoErr(err)
	taken, err := net.Listen("tcp", net.JoinHostPort(h.ip, strconv.Itoa(h.nextPort)))
	is.NoErr(err)
	defer taken.Close()
	second, err := h.Address()
	is.NoErr(err)
	is.True(second != first)
	for _, address := range []string{first, second} {
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
