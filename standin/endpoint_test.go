package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// listenAlone listens at an address if no other socket is bound to it, as the kernel
// requires of a port that it chooses.
func listenAlone(address string) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// Guards against a port of the stand-in that goes to another socket at the moment in which
// a fault closes its listener.
func TestPortOfAnEndpointIsHeldWhileItsListenerCloses(t *testing.T) {
	is := is.New(t)
	e := newEndpoint([]string{"log"}, &FaultSet{}, http.NotFoundHandler())
	is.NoErr(e.listen("127.0.0.1:0"))
	for range 2 {
		e.closeListener()
		is.True(errors.Is(listenAlone(e.address), syscall.EADDRINUSE))
		is.NoErr(e.setDown(false))
		response, err := http.Get("http://" + e.address)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.NoErr(e.close())
	is.NoErr(listenAlone("127.0.0.1:0"))
}
