package standin

import (
	"net"
	"time"
)

// DefaultIP is the address that the stand-in listens on.
const DefaultIP = "127.0.0.1"

// Options configures a Platform. Zero values stand for none, unless stated
// otherwise.
type Options struct {
	// IP is the IPv4 loopback address to listen on; "" stands for DefaultIP.
	IP string
	// AdminAddress is where /fault and /history are served; "" stands for any
	// port of IP.
	AdminAddress string
	// Retention is that of the log.
	Retention Retention
	// AppendLatency and ReadLatency are those of the log.
	AppendLatency time.Duration
	ReadLatency   time.Duration
	// AppendsPerSecond bounds the appends to the log; 0 stands for no limit.
	AppendsPerSecond int
	// MaxRequestTime bounds the work of a request at a backend server; 0
	// stands for DefaultMaxRequestTime.
	MaxRequestTime time.Duration
	// IgnoreTerms makes backend servers run requests of any term, as a server
	// that does not know the header does.
	IgnoreTerms bool
	// VMListLag is how long the VM list lags.
	VMListLag time.Duration
	// UsageInterval is the time between two usage measurements; 0 stands for
	// no measurements.
	UsageInterval time.Duration
	// UsageLag is how long a usage measurement takes to be reported.
	UsageLag time.Duration
}

func (o Options) listenAddress() string {
	ip := o.IP
	if ip == "" {
		ip = DefaultIP
	}
	return net.JoinHostPort(ip, "0")
}

func (o Options) maxRequestTime() time.Duration {
	if o.MaxRequestTime == 0 {
		return DefaultMaxRequestTime
	}
	return o.MaxRequestTime
}
