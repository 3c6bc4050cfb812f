package dispatch

import (
	"slices"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// FreeCapacity returns how many tasks of each demand of another cell the workers could
// take now, all together, after the waiting work of this cell.
func (m *Machine) FreeCapacity(demands []Demand) []int {
	o := &offers{machine: m, workers: m.usableWorkers(), failed: make(unplaceable)}
	o.taken = make([]hostapi.Resources, len(o.workers))
	defer o.release()
	defer m.keepFiniteRoom(o.workers)()
	for _, ws := range m.waitingSteps() {
		o.take(ws, &ws.entry.Steps[ws.stepIndex], ws.state.Local()-m.occupied[ws.state])
	}
	tasks := make([]int, len(demands))
	for i, d := range demands {
		entry := &ledger.Entry{Submission: workload.Submission{ID: d.Submission, Policy: workload.Policy{Service: d.Service}}}
		entry.Steps = make([]workload.Step, d.StepIndex+1)
		entry.Steps[d.StepIndex] = *d.Step
		ws := &waitingStep{entry: entry, occurrence: d.Occurrence, stepIndex: d.StepIndex, priority: d.Priority, image: m.model.idOf(d.Step.Image)}
		tasks[i] = o.take(ws, d.Step, d.Tasks)
	}
	return tasks
}

// offers reserves capacity for tasks that are not placed, until release.
type offers struct {
	machine *Machine
	workers []*worker
	// taken is what has been reserved on each worker.
	taken  []hostapi.Resources
	failed unplaceable
}

// take reserves capacity for up to a number of tasks of a step and returns for how many. A
// gang gets all or nothing.
func (o *offers) take(ws *waitingStep, step *workload.Step, wanted int) int {
	if o.failed.covers(ws) {
		return 0
	}
	var before []hostapi.Resources
	if step.Gang {
		before = slices.Clone(o.taken)
	}
	n := 0
	for i := range o.workers {
		if n == wanted {
			return n
		}
		n += o.takeOn(i, ws, step, wanted-n)
	}
	if n == wanted {
		return n
	}
	if step.Gang {
		o.restore(before)
		return 0
	}
	o.failed.add(ws)
	return n
}

// restore gives back what has been reserved since an earlier state of taken.
func (o *offers) restore(before []hostapi.Resources) {
	for i, w := range o.workers {
		w.reserved = w.reserved.Sub(o.taken[i].Sub(before[i]))
	}
	o.taken = before
}

// takeOn reserves capacity on one worker. It takes one best-effort task, because each
// changes the interference.
func (o *offers) takeOn(i int, ws *waitingStep, step *workload.Step, wanted int) int {
	w, request := o.workers[i], reservation(step)
	if step.MaxPerWorker > 0 {
		wanted = min(wanted, step.MaxPerWorker-w.countRuns(ws))
	}
	if step.BestEffort {
		wanted = min(wanted, 1)
	}
	n := 0
	for n < wanted && o.machine.fits(ws, step, w) && o.mayTake(ws, step, w, int64(n+1)) {
		w.reserved = w.reserved.Add(request)
		o.taken[i] = o.taken[i].Add(request)
		n++
	}
	return n
}

// mayTake reports whether a number of tasks of a step would be placed on a worker with room for them. The
// tasks of other cells would: those that are interrupted can't be told from the others.
func (o *offers) mayTake(ws *waitingStep, step *workload.Step, w *worker, tasks int64) bool {
	return !ws.yields || o.machine.finiteRoom.admits(classOfStep(ws), taking{w, tasks * reservation(step).MilliCPU})
}

// release ends the reservations.
func (o *offers) release() {
	for i, w := range o.workers {
		w.reserved = w.reserved.Sub(o.taken[i])
	}
}
