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

// apiClient sends HTTP requests to one platform service.
type apiClient struct {
	base   string
	client *http.Client
}

// bufferedResponse is an HTTP response whose bounded body has been read.
type bufferedResponse struct {
	status int
	body   []byte
	// etag is the entity tag, or "" if there is none.
	etag string
}

// newAPIClient returns a client of the service at address, which is an IP address
// and port or a base URL "http://IP:PORT/PATH". A nil client selects a new one
// from NewHTTPClient.
func newAPIClient(address string, client *http.Client) apiClient {
	if client == nil {
		client = NewHTTPClient()
	}
	if !strings.HasPrefix(address, urlScheme) {
		address = urlScheme + address
	}
	return apiClient{base: strings.TrimSuffix(address, "/"), client: client}
}

func (c apiClient) get(ctx context.Context, path string, query url.Values, limit int64) (bufferedResponse, error) {
	return c.send(ctx, http.MethodGet, path, query, nil, limit)
}

// postJSON sends in as JSON and parses the body of a successful response into
// out, which may be nil.
func (c apiClient) postJSON(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w: %w", path, err, hostapi.ErrNotSent)
	}
	resp, err := c.send(ctx, http.MethodPost, path, nil, data, MaxShortResponseBytes)
	if err != nil {
		return err
	}
	return resp.decode(out)
}

// send sends a request and reads the whole response, whose body may have at most
// limit bytes. The error wraps hostapi.ErrNotSent if no connection was obtained.
// That is reliable for POST requests only: net/http may retry a GET request on
// another connection.
func (c apiClient) send(ctx context.Context, method, path string, query url.Values, body []byte, limit int64) (bufferedResponse, error) {
	return c.sendConditional(ctx, method, path, query, body, limit, "")
}

// sendConditional is like send, but makes the request conditional if etag is not
// empty: if the resource still has this entity tag, the status of the response
// is http.StatusNotModified.
func (c apiClient) sendConditional(ctx context.Context, method, path string, query url.Values, body []byte, limit int64, etag string) (bufferedResponse, error) {
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
		return bufferedResponse{}, fmt.Errorf("%s %s: %w: %w", method, path, err, hostapi.ErrNotSent)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.client.Do(request)
	if err != nil && !connected.Load() {
		return bufferedResponse{}, fmt.Errorf("%w: %w", err, hostapi.ErrNotSent)
	}
	if err != nil {
		return bufferedResponse{}, err
	}
	defer response.Body.Close()
	data, err := readBounded(response.Body, limit)
	if err != nil {
		return bufferedResponse{}, fmt.Errorf("%s %s: read response: %w", method, path, err)
	}
	return bufferedResponse{status: response.StatusCode, body: data, etag: response.Header.Get("ETag")}, nil
}

// decode parses the body of a successful response into out, which may be nil. For
// another response it returns the error in the body.
func (a bufferedResponse) decode(out any) error {
	if a.status != http.StatusOK {
		return DecodeErrorBody(a.status, a.body)
	}
	if out == nil {
		return nil
	}
	err := decodeJSON(a.body, out)
	if err != nil {
		return fmt.Errorf("response body: %w", err)
	}
	return nil
}
