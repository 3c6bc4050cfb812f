package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerAgentClient is a hostapi.WorkerAgent over HTTP. It is safe for
// concurrent use. An error that wraps neither hostapi.ErrNotSent nor another
// of the hostapi.Err values leaves the outcome unknown.
type WorkerAgentClient struct {
	caller caller
}

var _ hostapi.WorkerAgent = (*WorkerAgentClient)(nil)

// NewWorkerAgentClient returns a client of the agent at an IP address and
// port, or at a base URL. A nil client stands for NewHTTPClient; agents should
// share one.
func NewWorkerAgentClient(address string, client *http.Client) *WorkerAgentClient {
	return &WorkerAgentClient{caller: newCaller(address, client)}
}

// Observe returns the worker's state.
func (c *WorkerAgentClient) Observe(ctx context.Context) (hostapi.WorkerState, error) {
	reply, err := c.caller.get(ctx, statePath, nil, MaxStateBytes)
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("observe worker: %w", err)
	}
	return decodeState(reply)
}

// Fence raises the worker's highest term and returns its state.
func (c *WorkerAgentClient) Fence(ctx context.Context, term int64) (hostapi.WorkerState, error) {
	data, err := json.Marshal(FenceRequest{Term: term})
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("fence worker: %w: %w", err, hostapi.ErrNotSent)
	}
	reply, err := c.caller.send(ctx, http.MethodPost, fencePath, nil, data, MaxStateBytes)
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("fence worker: %w", err)
	}
	return decodeState(reply)
}

// Start starts an attempt.
func (c *WorkerAgentClient) Start(ctx context.Context, s hostapi.Start) error {
	return c.caller.postJSON(ctx, startPath, s, nil)
}

// Renew extends leases of running attempts.
func (c *WorkerAgentClient) Renew(ctx context.Context, cmd hostapi.Command, renewals []hostapi.Renewal) error {
	request := RenewRequest{Command: cmd, Renewals: renewals}
	return c.caller.postJSON(ctx, renewPath, request, nil)
}

// Checkpoint asks a running attempt for a checkpoint and returns its name.
func (c *WorkerAgentClient) Checkpoint(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) (string, error) {
	var out CheckpointResponse
	request := AttemptRequest{Command: cmd, ID: id}
	err := c.caller.postJSON(ctx, checkpointPath, request, &out)
	if err != nil {
		return "", err
	}
	if out.Checkpoint == "" {
		return "", fmt.Errorf("checkpoint of task %s: answer names no checkpoint", id.Task)
	}
	return out.Checkpoint, nil
}

// Throttle limits a running attempt to a share of its processors.
func (c *WorkerAgentClient) Throttle(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID, share float64) error {
	request := ThrottleRequest{AttemptRequest: AttemptRequest{Command: cmd, ID: id}, Share: share}
	return c.caller.postJSON(ctx, throttlePath, request, nil)
}

// Stop ends an attempt and returns its final report.
func (c *WorkerAgentClient) Stop(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	var out hostapi.Attempt
	request := AttemptRequest{Command: cmd, ID: id}
	err := c.caller.postJSON(ctx, stopPath, request, &out)
	if err != nil {
		return hostapi.Attempt{}, err
	}
	if out.ID != id || out.State == hostapi.AttemptRunning || out.State == "" {
		return hostapi.Attempt{}, fmt.Errorf("stop of task %s: answer is about task %q in state %q", id.Task, out.ID.Task, out.State)
	}
	return out, nil
}

// Forget removes the report of an ended attempt.
func (c *WorkerAgentClient) Forget(ctx context.Context, cmd hostapi.Command, id hostapi.AttemptID) error {
	request := AttemptRequest{Command: cmd, ID: id}
	return c.caller.postJSON(ctx, forgetPath, request, nil)
}

func decodeState(reply answer) (hostapi.WorkerState, error) {
	if reply.status != http.StatusOK {
		return hostapi.WorkerState{}, DecodeErrorBody(reply.status, reply.body)
	}
	return DecodeWorkerState(reply.body)
}
