package dispatch

import (
	"slices"

	"github.com/cactusreel/cactusreel/ledger"
)

// Isolation of tasks that are suspected of a crash. Such a task is started on a worker on
// which no other run is being started, and none is until it has survived. If the worker
// crashes, the task is then the only suspect.
const (
	// isolatedShare is the part of the usable workers on which finite suspects may be
	// started at a time, as a divisor.
	isolatedShare = 4
	// lostRunPenalty is the penalty of a worker for each run that would be lost with it,
	// lostLongRunPenalty that for each long-running one.
	lostRunPenalty     = 0.05
	lostLongRunPenalty = 0.5
	// crashedPenalty is the penalty of an address at which a worker has crashed.
	crashedPenalty = 4.0
)

// suspectTasks returns the tasks of a step that wait, are suspected of a crash and may be
// started now: all members of a gang if it is.
func (m *Machine) suspectTasks(ws *waitingStep) []*ledger.Task {
	tasks := m.filterTasks(ws, true)
	return slices.DeleteFunc(tasks, func(t *ledger.Task) bool { return m.awaitsDecision(ws.entry, t) })
}

// unsuspectedTasks returns the other tasks of a step that wait.
func (m *Machine) unsuspectedTasks(ws *waitingStep) []*ledger.Task {
	return m.filterTasks(ws, false)
}

func (m *Machine) filterTasks(ws *waitingStep, suspect bool) []*ledger.Task {
	if !ws.entry.EverSuspected() && suspect {
		return nil
	}
	tasks := m.waitingTasks(ws.state.Tasks)
	if !ws.entry.EverSuspected() {
		return tasks
	}
	return slices.DeleteFunc(tasks, func(t *ledger.Task) bool { return ws.entry.CrashRecordOf(t).Suspect != suspect })
}

// placeSuspects places suspect tasks in isolation. It returns the workers that are left
// for other tasks in this planning round, and the number of placements. Workers are set
// aside for the suspects that found none, so that no run is being started there soon.
func (m *Machine) placeSuspects(round *heldWorkers, waiting []*waitingStep, workers []*worker) (left []*worker, placed int) {
	left = workers
	limit, known := 0, false
	for _, waits := range waiting {
		tasks := m.withinCap(waits, m.suspectTasks(waits))
		if len(tasks) == 0 {
			continue
		}
		if !known {
			limit, known = max(1, len(workers)/isolatedShare)-m.isolatedWorkers(), true
		}
		ws := *waits
		ws.suspect = true
		step := &ws.entry.Steps[ws.stepIndex]
		if !step.LongRunning && !step.Gang {
			tasks = tasks[:max(0, min(len(tasks), limit))]
		}
		if len(tasks) == 0 {
			continue
		}
		quiet := slices.DeleteFunc(slices.Clone(left), (*worker).hasFreshRuns)
		n := m.placeTasks(&ws, tasks, quiet)
		left = slices.DeleteFunc(slices.Clone(left), func(w *worker) bool { return w.isolated > 0 })
		if n < len(tasks) {
			left = without(left, m.hold(round, &ws, left, len(tasks)-n))
		}
		placed += n
		limit -= len(tasks)
	}
	return left, placed
}

// isolatedWorkers returns the number of workers with isolated runs.
func (m *Machine) isolatedWorkers() int {
	n := 0
	for _, w := range m.sorted {
		if w.isolated > 0 && !w.silent {
			n++
		}
	}
	return n
}

// hasFreshRuns reports whether a run on the worker would be a suspect if it crashed.
func (w *worker) hasFreshRuns() bool {
	return slices.ContainsFunc(w.runList, func(r *run) bool { return !r.survived })
}

// collateral returns what the crash of a worker would cost, as a penalty.
func (m *Machine) collateral(w *worker) float64 {
	sum := 0.0
	for _, r := range w.runList {
		sum += lostRunPenalty
		if r.step.LongRunning {
			sum += lostLongRunPenalty
		}
	}
	if slices.ContainsFunc(m.crashes.outages, func(o outage) bool { return o.address == w.Address }) {
		sum += crashedPenalty
	}
	return sum
}
