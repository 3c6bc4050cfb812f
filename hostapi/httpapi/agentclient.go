package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerAgentClient implements hostapi.WorkerAgent over HTTP. It is safe for
// concurrent use. An error that wraps none of the hostapi.Err values leaves the
// outcome unknown.
type WorkerAgentClient struct {
	api apiClient
}

var _ hostapi.WorkerAgent = (*WorkerAgentClient)(nil)

// NewWorkerAgentClient returns a client of the agent at address, which is an IP
// address and port or a base URL. A nil client selects a new one from
// NewHTTPClient; the clients of several agents should share one.
func NewWorkerAgentClient(address string, client *http.Client) *WorkerAgentClient {
	return &WorkerAgentClient{api: newAPIClient(address, client)}
}

// Observe returns the worker's state.
func (c *WorkerAgentClient) Observe(ctx context.Context) (hostapi.WorkerState, error) {
	resp, err := c.api.get(ctx, statePath, nil, MaxStateBytes)
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("observe worker: %w", err)
	}
	return decodeState(resp)
}

// Fence raises the worker's highest term and returns its state.
func (c *WorkerAgentClient) Fence(ctx context.Context, term int64) (hostapi.WorkerState, error) {
	data, err := json.Marshal(FenceRequest{Term: term})
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("fence worker: %w: %w", err, hostapi.ErrNotSent)
	}
	resp, err := c.api.send(ctx, http.MethodPost, fencePath, nil, data, MaxStateBytes)
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("fence worker: %w", err)
	}
	return decodeState(resp)
}

// Start starts an attempt.
func (c *WorkerAgentClient) Start(ctx context.Context, s hostapi.Start) error {
	return c.api.postJSON(ctx, startPath, s, nil)
}

// Renew extends the leases of running attempts.
func (c *WorkerAgentClient) Renew(ctx context.Context, cmd hostapi.Command, renewals []hostapi.Renewal) error {
	request := RenewRequest{Command: cmd, Renewals: renewals}
	return c.api.postJSON(ctx, renewPath, request, nil)
}

// Checkpoint makes a running attempt write a checkpoint and returns the name of
// the checkpoint.
func (c *WorkerAgentClient) Checkpoint(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) (string, error) {
	var out CheckpointResponse
	request := AttemptRequest{Command: cmd, ID: id}
	err := c.api.postJSON(ctx, checkpointPath, request, &out)
	if err != nil {
		return "", err
	}
	if out.Checkpoint == "" {
		return "", fmt.Errorf("checkpoint of task %s: response names no checkpoint", id.Task)
	}
	return out.Checkpoint, nil
}

// Throttle limits a running attempt to a share of its processors, from 0 to 1.
func (c *WorkerAgentClient) Throttle(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID, share float64) error {
	request := ThrottleRequest{AttemptRequest: AttemptRequest{Command: cmd, ID: id}, Share: share}
	return c.api.postJSON(ctx, throttlePath, request, nil)
}

// Stop ends an attempt and returns its final report.
func (c *WorkerAgentClient) Stop(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	var out hostapi.Attempt
	request := AttemptRequest{Command: cmd, ID: id}
	err := c.api.postJSON(ctx, stopPath, request, &out)
	if err != nil {
		return hostapi.Attempt{}, err
	}
	if out.ID != id || out.State == hostapi.AttemptRunning || out.State == "" {
		return hostapi.Attempt{}, fmt.Errorf("stop of task %s: response is for task %q in state %q", id.Task, out.ID.Task, out.State)
	}
	return out, nil
}

// Forget acknowledges the end of an attempt and removes its report.
func (c *WorkerAgentClient) Forget(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) error {
	request := AttemptRequest{Command: cmd, ID: id}
	return c.api.postJSON(ctx, forgetPath, request, nil)
}

func decodeState(resp bufferedResponse) (hostapi.WorkerState, error) {
	if resp.status != http.StatusOK {
		return hostapi.WorkerState{}, DecodeErrorBody(resp.status, resp.body)
	}
	return DecodeWorkerState(resp.body)
}
