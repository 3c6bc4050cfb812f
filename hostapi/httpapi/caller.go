package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cactusreel/cactusreel/hostapi"
)

const urlScheme = "http://"

// caller sends requests to one service.
type caller struct {
	base   string
	client *http.Client
}

// answer is a complete answer with its bounded body.
type answer struct {
	status int
	body   []byte
	// tag is the entity tag, "" if there is none.
	tag string
}

// newCaller returns a caller of the service at an IP address and port, or at a
// base URL "http://IP:PORT/PATH". A nil client stands for NewHTTPClient.
func newCaller(address string, client *http.Client) caller {
	if client == nil {
		client = NewHTTPClient()
	}
	if !strings.HasPrefix(address, urlScheme) {
		address = urlScheme + address
	}
	return caller{base: strings.TrimSuffix(address, "/"), client: client}
}

func (c caller) get(ctx context.Context, path string, query url.Values, limit int64) (answer, error) {
	return c.send(ctx, http.MethodGet, path, query, nil, limit)
}

// postJSON sends a command and parses a successful answer into out.
func (c caller) postJSON(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w: %w", path, err, hostapi.ErrNotSent)
	}
	reply, err := c.send(ctx, http.MethodPost, path, nil, data, MaxShortResponseBytes)
	if err != nil {
		return err
	}
	return reply.decode(out)
}

// send makes one request and reads the whole answer. The error wraps
// hostapi.ErrNotSent if no connection was obtained. That is certain for POST
// requests only: net/http may send a GET request again on a second connection.
func (c caller) send(ctx context.Context, method, path string, query url.Values, body []byte, limit int64) (answer, error) {
	return c.sendTagged(ctx, method, path, query, body, limit, "")
}

// sendTagged is send with an entity tag; if it is not empty and what was asked
// for still has the tag, the status is http.StatusNotModified.
func (c caller) sendTagged(ctx context.Context, method, path string, query url.Values, body []byte, limit int64, tag string) (answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%s %s: %w: %w", method, path, err, hostapi.ErrNotSent)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.client.Do(request)
	if err != nil && !connected.Load() {
		return answer{}, fmt.Errorf("%w: %w", err, hostapi.ErrNotSent)
	}
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	data, err := readBounded(response.Body, limit)
	if err != nil {
		return answer{}, fmt.Errorf("%s %s: read answer: %w", method, path, err)
	}
	return answer{status: response.StatusCode, body: data, tag: response.Header.Get("ETag")}, nil
}

// decode parses a successful answer into out, which may be nil, or returns the
// error that the answer carries.
func (a answer) decode(out any) error {
	if a.status != http.StatusOK {
		return DecodeErrorBody(a.status, a.body)
	}
	if out == nil {
		return nil
	}
	err := decodeJSON(a.body, out)
	if err != nil {
		return fmt.Errorf("answer body: %w", err)
	}
	return nil
}
