package standin

import (
	"net"
	"time"
)

// DefaultIP is the default IP address to listen on.
const DefaultIP = "127.0.0.1"

// Options configures a Platform. A zero value disables its feature or limit,
// unless stated otherwise.
type Options struct {
	// IP is the IPv4 loopback address to listen on; "" means DefaultIP.
	IP string
	// AdminAddress is the listen address of the admin endpoint; "" means any port
	// of IP.
	AdminAddress string
	// Retention is the retention of log records.
	Retention Retention
	// AppendLatency and ReadLatency are the latencies of the log.
	AppendLatency time.Duration
	ReadLatency   time.Duration
	// AppendsPerSecond limits the rate of log appends; 0 means no limit.
	AppendsPerSecond int
	// MaxRequestTime limits the work of a request on a backend server; 0 means
	// DefaultMaxRequestTime.
	MaxRequestTime time.Duration
	// IgnoreTerms makes backend servers run requests of any term, like a server
	// that does not support the term header.
	IgnoreTerms bool
	// VMListLag is the delay until a change of a VM appears in the VM list.
	VMListLag time.Duration
	// UsageInterval is the time between usage measurements; 0 means no
	// measurements.
	UsageInterval time.Duration
	// UsageLag is the delay until a usage measurement is reported.
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
