package pipenet

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a dial that outlasts its context or the listener, which would hold up the
// bubble of a test for good.
func TestDialEndsWithItsContextAndWithTheListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewListener()
		call, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := l.Dial(call, "tcp", "store")
		is.True(errors.Is(err, context.DeadlineExceeded))
		go func() {
			time.Sleep(time.Second)
			_ = l.Close()
		}()
		_, err = l.Dial(t.Context(), "tcp", "store")
		is.True(errors.Is(err, net.ErrClosed))
	})
}
