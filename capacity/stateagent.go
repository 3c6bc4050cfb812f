package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// stateAgent is a worker agent that returns a fixed state.
type stateAgent struct {
	hostapi.WorkerAgent
	state hostapi.WorkerState
}

// Observe implements hostapi.WorkerAgent.
func (a *stateAgent) Observe(context.Context) (hostapi.WorkerState, error) {
	return a.state, nil
}
