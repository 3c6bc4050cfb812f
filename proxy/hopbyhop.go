package proxy

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the headers that apply to one connection only (RFC 9110,
// 7.6.1). Expect is among them because this proxy reads the body itself.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns the headers to forward: without hop-by-hop headers,
// the headers that Connection lists, and the headers of this system.
func endToEndHeaders(h http.Header) http.Header {
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
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// headerBytes returns the size of a request's target and headers in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
