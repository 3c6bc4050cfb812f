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

// maxAnswerBytes bounds an answer. A list of 100,000 jobs takes about 50 MB.
const maxAnswerBytes = 256 << 20

// dialTimeout bounds the connection to one server, so that the next one is
// tried while the caller still waits.
const dialTimeout = 2 * time.Second

// Client calls one of several entry VMs. It goes on to the next one only when
// a request certainly had no effect. It is safe for concurrent use.
type Client struct {
	servers []string
	http    *http.Client
}

// New returns a client of the entry VMs at the given base URLs, for example
// "http://127.0.1.11:8080", in the order in which they are tried.
func New(servers []string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.New("no server; accepted: one or more base URLs")
	}
	c := &Client{http: &http.Client{Transport: transport()}}
	for _, server := range servers {
		u, err := url.Parse(server)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return nil, fmt.Errorf("server %q; accepted: http:// and an address and port", server)
		}
		c.servers = append(c.servers, strings.TrimSuffix(server, "/"))
	}
	return c, nil
}

func transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
	}
}

// call sends a request and decodes the answer into out, which may be nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return result.Errorf(r.lost, "%s %s: read the answer: %w", r.method, r.path, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(r.lost, "%s %s: decode the answer: %w", r.method, r.path, err)
	}
	return nil
}

// send returns an answer with result.OK, whose body the caller closes.
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	var last error
	for _, server := range c.servers {
		response, err := c.sendTo(ctx, server, r)
		if err == nil {
			return response, nil
		}
		last = err
		if !hadNoEffect(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// hadNoEffect reports whether the request certainly had no effect at this VM
// and another VM may be able to serve it.
func hadNoEffect(err error) bool {
	switch result.CodeOf(err, result.OutcomeUnknown) {
	case result.NotReady, result.NotRunStopping, result.NotRunLogUnavailable, result.NotRunOverloaded:
		return true
	}
	return neverConnected(err)
}

// neverConnected reports whether no connection to the server was made.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) sendTo(ctx context.Context, server string, r request) (*http.Response, error) {
	message, err := http.NewRequestWithContext(ctx, r.method, server+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		return nil, result.Errorf(result.BadResource, "%s %s: %w", r.method, r.path, err)
	}
	for name, values := range r.header {
		message.Header[name] = values
	}
	response, err := c.http.Do(message)
	if err != nil {
		return nil, transportError(err, r.lost)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, failureOf(response, server, r)
}

func transportError(err error, lost result.Code) error {
	if neverConnected(err) {
		lost = result.PeerUnavailable
	}
	return result.Errorf(lost, "%w", err)
}

// failureOf returns the error that an answer states. An answer that does not
// come from an entry VM leaves the outcome open.
func failureOf(response *http.Response, server string, r request) error {
	var f operator.Failure
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(data, &f)
	}
	if _, known := result.Lookup(f.Code); err != nil || !known || f.Code == result.OK {
		return result.Errorf(r.lost, "%s%s answered with status %s and no result code", server, r.path, response.Status)
	}
	return &result.Error{Code: f.Code, Message: f.Message}
}
