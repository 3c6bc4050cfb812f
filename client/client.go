package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// maxResponseBytes bounds a response body. A list of 100,000 jobs takes about
// 50 MB.
const maxResponseBytes = 256 << 20

// dialTimeout bounds the time to connect to one server, so that the next one can
// be tried within the caller's timeout.
const dialTimeout = 2 * time.Second

// Client calls one of several entry VMs. It tries the next one only if a request
// certainly had no effect. It is safe for concurrent use.
type Client struct {
	servers []string
	http    *http.Client
}

// New returns a client for the entry VMs at the given base URLs, for example
// "http://127.0.1.11:8080", in the order in which they are tried.
func New(servers []string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.New("no server given; accepted: one or more base URLs")
	}
	c := &Client{http: &http.Client{Transport: newTransport()}}
	for _, server := range servers {
		u, err := url.Parse(server)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return nil, fmt.Errorf("server %q; accepted: http:// and an address and port", server)
		}
		c.servers = append(c.servers, strings.TrimSuffix(server, "/"))
	}
	return c, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
	}
}

// call sends a request and decodes the response body into out, which may be nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result.Errorf(r.lostCode, "%s %s: read response: %w", r.method, r.path, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(r.lostCode, "%s %s: decode response: %w", r.method, r.path, err)
	}
	return nil
}

// send tries the servers in order and returns a successful response, whose body
// the caller must close.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	var lastErr error
	for _, server := range c.servers {
		response, err := c.sendTo(ctx, server, r)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if !hadNoEffect(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

// hadNoEffect reports whether the request certainly had no effect at the server
// and another server may be able to serve it.
func hadNoEffect(err error) bool {
	switch result.CodeOf(err, result.OutcomeUnknown) {
	case result.NotReady, result.NotRunStopping, result.NotRunLogUnavailable, result.NotRunOverloaded:
		return true
	}
	return isDialError(err)
}

// isDialError reports whether the connection to the server could not be
// established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) sendTo(ctx context.Context, server string, r request) (*http.Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, server+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		return nil, result.Errorf(result.BadResource, "%s %s: %w", r.method, r.path, err)
	}
	for name, values := range r.header {
		httpRequest.Header[name] = values
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, transportError(err, r.lostCode)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, parseFailure(response, server, r)
}

func transportError(err error, code result.Code) error {
	if isDialError(err) {
		code = result.PeerUnavailable
	}
	return result.Errorf(code, "%w", err)
}

// parseFailure returns the error in a response. A response without a known result
// code does not come from an entry VM and gets the code r.lostCode.
func parseFailure(response *http.Response, server string, r request) error {
	var f operator.Failure
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(data, &f)
	}
	if _, known := result.Lookup(f.Code); err != nil || !known || f.Code == result.OK {
		return result.Errorf(r.lostCode, "response from %s%s has status %s and no result code", server, r.path, response.Status)
	}
	return &result.Error{Code: f.Code, Message: f.Message}
}
