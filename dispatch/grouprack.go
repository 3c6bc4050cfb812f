package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// maxGroupSearches limits the steps of a planning round for which racks are compared: each
// comparison looks at all workers.
const maxGroupSearches = 16

// rackForGroup chooses the rack of a step whose tasks run faster on one, before the first of them is
// placed: that on which all tasks are expected to have room first. It returns the workers that they
// may run on, all if they don't get room together soon enough, and whether the step waits for them. The
// forecast doesn't know limits per worker, so steps with one are placed as they come.
func (m *Machine) rackForGroup(ws *waitingStep, step *workload.Step, workers []*worker) (on []*worker, waits bool) {
	if !step.SameRack || step.DataRack != "" || step.MaxPerWorker > 0 || ws.suspect || !m.mayWait(step) ||
		m.assignedRack(ws, step) != "" || m.places.searches >= maxGroupSearches {
		return workers, false
	}
	m.places.searches++
	choice, tasks := m.placeChoice(ws, step, workers), m.missingBeforeCap(ws)
	best, bestWait := rackKey{}, time.Duration(-1)
	for _, key := range racksOf(ws, step, workers) {
		if m.isRackUnknown(key) && choice.Waited < choice.Bound() {
			m.noteWaitForRack(ws, key.rack, 0, tasks)
			return nil, true
		}
		all, found := m.rackForecast(key, workers).Clone().TakeAll(tasks, step.Request, choice.Bound(), choice.Near)
		if found && (bestWait < 0 || all < bestWait) {
			best, bestWait = key, all
		}
		if bestWait == 0 {
			break
		}
	}
	choice.ExpectedWait = bestWait
	if bestWait < 0 || bestWait > 0 && !choice.Pays() {
		return workers, false
	}
	m.rackForecast(best, workers).TakeAll(tasks, step.Request, choice.Bound(), choice.Near)
	if bestWait > 0 {
		m.noteWaitForRack(ws, best.rack, bestWait, tasks)
		return nil, true
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return w.Rack != best.rack }), false
}

// racksOf returns the racks with workers for a step, in order.
func racksOf(ws *waitingStep, step *workload.Step, workers []*worker) []rackKey {
	names := make(map[string]bool)
	for _, w := range workers {
		if w.Service == ws.entry.Policy.Service && w.HasLabel(step.Label) {
			names[w.Rack] = true
		}
	}
	out := make([]rackKey, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, rackKey{ws.entry.Policy.Service, name, step.Label})
	}
	return out
}
