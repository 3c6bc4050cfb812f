package httpapi

import (
	"net"
	"net/http"
)

// NewHTTPClient returns an HTTP client for platform services. It uses no proxy
// and follows no redirects, because a redirected command would be sent twice. A
// call times out after 5 s even if its context has no deadline, because a
// connection can stop responding without being closed.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	return &http.Client{
		Timeout: defaultCallTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: defaultIdleConnections,
			IdleConnTimeout:     defaultIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
