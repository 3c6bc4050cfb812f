package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/platform"
)

// stateAgent is a worker agent that only reports its state.
type stateAgent struct {
	platform.WorkerAgent
	state platform.WorkerState
}

// Observe implements platform.WorkerAgent.
func (a *stateAgent) Observe(context.Context) (platform.WorkerState, error) {
	return a.state, nil
}
