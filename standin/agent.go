package standin

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// agent is the hostapi.WorkerAgent of one node's simulated worker.
type agent struct {
	node *node
}

var _ hostapi.WorkerAgent = (*agent)(nil)

// Observe implements hostapi.WorkerAgent.
func (a *agent) Observe(context.Context) (hostapi.WorkerState, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Observe(now), nil
}

// Fence implements hostapi.WorkerAgent.
func (a *agent) Fence(_ context.Context, term int64) (hostapi.WorkerState, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Fence(now, term)
}

// Start implements hostapi.WorkerAgent.
func (a *agent) Start(_ context.Context, s hostapi.Start) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Start(now, s)
}

// Renew implements hostapi.WorkerAgent.
func (a *agent) Renew(_ context.Context, c hostapi.Command, renewals []hostapi.Renewal) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Renew(now, c, renewals)
}

// Checkpoint implements hostapi.WorkerAgent.
func (a *agent) Checkpoint(_ context.Context, c hostapi.Command, id hostapi.AttemptID) (string, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Checkpoint(now, c, id)
}

// Throttle implements hostapi.WorkerAgent.
func (a *agent) Throttle(_ context.Context, c hostapi.Command, id hostapi.AttemptID, share float64) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Throttle(now, c, id, share)
}

// Stop implements hostapi.WorkerAgent.
func (a *agent) Stop(_ context.Context, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Stop(now, c, id)
}

// Forget implements hostapi.WorkerAgent.
func (a *agent) Forget(_ context.Context, c hostapi.Command, id hostapi.AttemptID) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Forget(now, c, id)
}
