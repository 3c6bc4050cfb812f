package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/routing"
)

// Config holds the dependencies and parameters of a Proxy. Fields that are not
// marked as optional are required.
type Config struct {
	// VM is this entry VM's id.
	VM string
	// Router decides where requests run.
	Router *routing.Router
	// Store holds the request tables.
	Store *dedup.Store
	// Directory looks up the homes of cells.
	Directory Directory
	// Acknowledger sends intents to peers.
	Acknowledger Acknowledger
	// Now reads this VM's monotonic clock, the same clock whose times Router and
	// Store get.
	Now func() time.Duration
	// Random returns random numbers; it is called concurrently.
	Random func() uint64
	// Limits is optional.
	Limits Limits
	// Caller returns the caller's identity for fair sharing. Optional: the
	// default is the header Cactusreel-Caller, or else the remote IP address.
	Caller func(*http.Request) string
	// Dial opens a TCP connection to a backend server or peer. Optional.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnEvent is called for events that logs and metrics count. Optional; it
	// is called concurrently and must not block.
	OnEvent func(Event)
}

func (c *Config) check() error {
	switch {
	case c.VM == "":
		return errors.New("proxy: VM is empty")
	case c.Router == nil || c.Store == nil:
		return errors.New("proxy: Router and Store are required")
	case c.Directory == nil || c.Acknowledger == nil:
		return errors.New("proxy: Directory and Acknowledger are required")
	case c.Now == nil || c.Random == nil:
		return errors.New("proxy: Now and Random are required")
	default:
		return nil
	}
}

func (c *Config) setDefaults() {
	c.Limits = c.Limits.withDefaults()
	if c.Caller == nil {
		c.Caller = callerIdentity
	}
	if c.OnEvent == nil {
		c.OnEvent = func(Event) {}
	}
	if c.Dial == nil {
		dialer := &net.Dialer{}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
}

func callerIdentity(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
