package client

import (
	"context"
	"io"
	"net/url"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// resourcePath returns the path of a resource, or of its kind if the name is
// empty.
func resourcePath(kind api.Kind, name string) string {
	path := "/v1/" + url.PathEscape(string(kind))
	if name == "" {
		return path
	}
	return path + "/" + url.PathEscape(name)
}

// Get returns a resource, with its status if it is a service or job.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (api.Resource, error) {
	var r api.Resource
	err := c.call(ctx, request{method: "GET", path: resourcePath(kind, name), lostCode: result.PeerUnavailable}, &r)
	return r, err
}

// List returns the resources of a kind and the version to watch from.
func (c *Client) List(ctx context.Context, kind api.Kind) (operator.List, error) {
	var list operator.List
	err := c.call(ctx, request{method: "GET", path: resourcePath(kind, ""), lostCode: result.PeerUnavailable}, &list)
	return list, err
}

// ListWithStatus returns the resources of a kind with the status of services
// and jobs.
func (c *Client) ListWithStatus(ctx context.Context, kind api.Kind) (operator.List, error) {
	var list operator.List
	err := c.call(ctx, request{method: "GET", path: resourcePath(kind, "") + "?status=true", lostCode: result.PeerUnavailable}, &list)
	return list, err
}

// NewRequestID returns an id for a non-idempotent request.
func (c *Client) NewRequestID(ctx context.Context) (string, error) {
	var issued operator.IssuedID
	err := c.call(ctx, request{method: "POST", path: "/v1/request-ids", lostCode: result.PeerUnavailable}, &issued)
	return issued.ID, err
}

// DumpState writes the state dump of the first entry VM that responds to w.
func (c *Client) DumpState(ctx context.Context, w io.Writer) error {
	response, err := c.send(ctx, request{method: "GET", path: "/debug/state", lostCode: result.PeerUnavailable})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(w, response.Body); err != nil {
		return result.Errorf(result.PeerUnavailable, "read the state dump: %w", err)
	}
	return nil
}
