package client

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// Put writes a resource. Fields that the system sets are ignored.
func (c *Client) Put(ctx context.Context, r api.Resource, o WriteOptions) (operator.WriteResult, error) {
	r.Version, r.Created, r.Homes, r.Status = 0, 0, nil, nil
	body, err := json.Marshal(r)
	if err != nil {
		return operator.WriteResult{}, result.Errorf(result.BadResource, "encode %s/%s: %w", r.Kind, r.Name, err)
	}
	return c.write(ctx, "PUT", resourcePath(r.Kind, r.Name), body, o)
}

// Delete deletes a resource.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, o WriteOptions) (operator.WriteResult, error) {
	return c.write(ctx, "DELETE", resourcePath(kind, name), nil, o)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, job string, o WriteOptions) (operator.WriteResult, error) {
	return c.write(ctx, "POST", resourcePath(api.KindJob, job)+"/cancel", nil, o)
}

// TakeOut takes a data centre out of service.
func (c *Client) TakeOut(ctx context.Context, dataCentre string, o WriteOptions) (operator.WriteResult, error) {
	return c.write(ctx, "POST", resourcePath(api.KindDataCentre, dataCentre)+"/take-out", nil, o)
}

// BringBack brings a data centre back into service.
func (c *Client) BringBack(ctx context.Context, dataCentre string, o WriteOptions) (operator.WriteResult, error) {
	return c.write(ctx, "POST", resourcePath(api.KindDataCentre, dataCentre)+"/bring-back", nil, o)
}

// write sends a write. The WriteResult carries the operation id even if there is
// an error, so that the operation can be retried.
func (c *Client) write(ctx context.Context, method, path string, body []byte, o WriteOptions) (operator.WriteResult, error) {
	if o.OperationID == "" {
		o.OperationID = NewOperationID()
	}
	header := http.Header{}
	header.Set(operator.HeaderOperationID, o.OperationID)
	if o.Precondition.MustNotExist {
		header.Set("If-None-Match", "*")
	}
	if o.Precondition.Version != 0 {
		header.Set("If-Match", strconv.FormatInt(int64(o.Precondition.Version), 10))
	}
	written := operator.WriteResult{}
	r := request{method: method, path: path, header: header, body: body, lostCode: result.WriteOutcomeUnknown}
	err := c.call(ctx, r, &written)
	written.Operation = o.OperationID
	return written, err
}
