package proxy

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
// Expect is among them because this proxy reads the body itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the headers that are passed on: without those of the
// connection, those that Connection names, and those of this system.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = append([]string(nil), values...)
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// headerBytes returns the size of a request's target and headers.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
