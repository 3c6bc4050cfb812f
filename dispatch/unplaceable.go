package dispatch

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// constraints are the properties of a task, other than its resource request, that
// decide whether a worker can take it.
type constraints struct {
	service    string
	label      string
	bestEffort bool
	// yields is set for long-running steps that leave room to finite ones.
	yields bool
	// image is set for best-effort steps only: the interference that they cause
	// depends on it.
	image imageID
}

// unplaceable maps constraints to the smallest request that no worker could take
// in a planning round. With a long queue and no free capacity, evaluating every
// worker for every waiting step would take all of the owner's CPU time.
type unplaceable map[constraints]hostapi.Resources

func constraintsOf(ws *waitingStep, step *workload.Step) constraints {
	key := constraints{service: ws.entry.Policy.Service, label: step.Label, bestEffort: step.BestEffort, yields: ws.yields}
	if step.BestEffort {
		key.image = ws.image
	}
	return key
}

// covers reports whether no worker could take a request that is at most as large
// as that of the step.
func (u unplaceable) covers(ws *waitingStep) bool {
	step := &ws.entry.Steps[ws.stepIndex]
	failed, ok := u[constraintsOf(ws, step)]
	return ok && failed.Fits(step.Request)
}

// add records a step for which no worker was found. Gangs and steps with a limit
// per worker are ignored: other steps may still fit.
func (u unplaceable) add(ws *waitingStep) {
	step := &ws.entry.Steps[ws.stepIndex]
	if step.Gang || step.MaxPerWorker > 0 {
		return
	}
	u.addRequest(ws)
}

// addTask records the request of one of a step's tasks, which yields to finite steps or not.
func (u unplaceable) addTask(ws *waitingStep, yields bool) {
	tried := *ws
	tried.yields = yields
	u.add(&tried)
}

// addRequest records a step for one task of which no worker has room.
func (u unplaceable) addRequest(ws *waitingStep) {
	step := &ws.entry.Steps[ws.stepIndex]
	key := constraintsOf(ws, step)
	if failed, ok := u[key]; !ok || step.Request.Fits(failed) {
		u[key] = step.Request
	}
}
