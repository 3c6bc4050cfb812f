package httpapi

import (
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Paths of the worker agent. The method of statePath is GET, that of the others
// is POST.
const (
	statePath      = "/agent/state"
	fencePath      = "/agent/fence"
	startPath      = "/agent/start"
	renewPath      = "/agent/renew"
	checkpointPath = "/agent/checkpoint"
	throttlePath   = "/agent/throttle"
	stopPath       = "/agent/stop"
	forgetPath     = "/agent/forget"
)

// DecodeWorkerState parses a worker state. It returns an error for a state
// without a worker or boot id, and for an attempt without a task, without a
// positive number, or listed twice.
func DecodeWorkerState(data []byte) (hostapi.WorkerState, error) {
	var state hostapi.WorkerState
	err := decodeJSON(data, &state)
	if err != nil {
		return hostapi.WorkerState{}, fmt.Errorf("worker state: %w", err)
	}
	if state.Worker == "" || state.Boot == "" {
		return hostapi.WorkerState{}, fmt.Errorf("worker state: worker %q or boot %q is empty", state.Worker, state.Boot)
	}
	seen := make(map[hostapi.AttemptID]bool, len(state.Attempts))
	for _, a := range state.Attempts {
		if a.ID.Task == "" || a.ID.Attempt < 1 || seen[a.ID] {
			return hostapi.WorkerState{}, fmt.Errorf("worker state: attempt %d of task %q is invalid or listed twice", a.ID.Attempt, a.ID.Task)
		}
		seen[a.ID] = true
	}
	return state, nil
}
