package standin

import (
	"context"

	"github.com/cactusreel/cactusreel/platform"
)

// agent is the platform.WorkerAgent of one node's simulated worker.
type agent struct {
	node *node
}

var _ platform.WorkerAgent = (*agent)(nil)

// Observe implements platform.WorkerAgent.
func (a *agent) Observe(context.Context) (platform.WorkerState, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Observe(now), nil
}

// Fence implements platform.WorkerAgent.
func (a *agent) Fence(_ context.Context, term int64) (platform.WorkerState, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Fence(now, term)
}

// Start implements platform.WorkerAgent.
func (a *agent) Start(_ context.Context, s platform.Start) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Start(now, s)
}

// Renew implements platform.WorkerAgent.
func (a *agent) Renew(_ context.Context, c platform.Command, renewals []platform.Renewal) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Renew(now, c, renewals)
}

// Checkpoint implements platform.WorkerAgent.
func (a *agent) Checkpoint(_ context.Context, c platform.Command, id platform.AttemptID) (string, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Checkpoint(now, c, id)
}

// Throttle implements platform.WorkerAgent.
func (a *agent) Throttle(_ context.Context, c platform.Command, id platform.AttemptID, share float64) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Throttle(now, c, id, share)
}

// Stop implements platform.WorkerAgent.
func (a *agent) Stop(_ context.Context, c platform.Command, id platform.AttemptID) (platform.Attempt, error) {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Stop(now, c, id)
}

// Forget implements platform.WorkerAgent.
func (a *agent) Forget(_ context.Context, c platform.Command, id platform.AttemptID) error {
	w, now, unlock := a.node.lock()
	defer unlock()
	return w.Forget(now, c, id)
}
