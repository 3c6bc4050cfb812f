package dispatch

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// isNew reports whether a long-running task has not had a run.
func isNew(t *ledger.Task) bool { return t.Run == 0 }

// yieldsRoom reports whether all tasks of a step that a planning round can place leave room to finite steps.
func (m *Machine) yieldsRoom(ws *waitingStep) bool {
	step := &ws.entry.Steps[ws.stepIndex]
	if !m.mayYield(ws.entry, ws.occurrence, step, ws.state) {
		return false
	}
	for i := range ws.state.Tasks {
		if t := &ws.state.Tasks[i]; !isNew(t) && m.isUnclaimed(ws, t) {
			return false
		}
	}
	return true
}

// yields reports whether a task of a step leaves room to finite steps.
func (m *Machine) yields(ws *waitingStep, t *ledger.Task) bool {
	return isNew(t) && m.mayYield(ws.entry, ws.occurrence, &ws.entry.Steps[ws.stepIndex], ws.state)
}

// interruptedFirst returns the tasks of a step, for a long-running one first those that have had a run.
func interruptedFirst(step *workload.Step, tasks []*ledger.Task) []*ledger.Task {
	if step.LongRunning {
		slices.SortStableFunc(tasks, func(a, b *ledger.Task) int { return cmp.Compare(min(b.Run, 1), min(a.Run, 1)) })
	}
	return tasks
}

// leavesRoom reports whether a task may be placed on a worker as far as the room for finite steps goes.
func (m *Machine) leavesRoom(ws *waitingStep, step *workload.Step, t *ledger.Task, w *worker) bool {
	return !m.yields(ws, t) || m.admits(ws, step, w)
}

// mayYield reports whether the new tasks of a step leave room to finite steps: those of a long-running one
// that is neither a gang nor a guest, which has been offered its room, unless it lacks its first run.
func (m *Machine) mayYield(e *ledger.Entry, occurrence int, step *workload.Step, state *ledger.Step) bool {
	return step.LongRunning && !step.Gang && !e.Guest() && !m.lacksFirstRun(e, occurrence, state)
}

// lacksFirstRun reports whether a long-running submission has waited for firstTaskDelay and has no run. The
// wait goes on over takeovers, and also if the clock of the node that accepted it is ahead.
func (m *Machine) lacksFirstRun(e *ledger.Entry, occurrence int, state *ledger.Step) bool {
	if len(m.byEntry[e.ID]) > 0 {
		return false
	}
	waited := m.wall.Sub(e.DueAt(occurrence))
	if wait := m.longWaits[state]; wait != nil {
		waited = max(waited, m.now-wait.first)
	}
	return waited >= firstTaskDelay
}

// admits reports whether a new task of a long-running step may be placed on a worker.
func (m *Machine) admits(ws *waitingStep, step *workload.Step, w *worker) bool {
	return m.finiteRoom.admits(classOfStep(ws), taking{w, reservation(step).MilliCPU})
}

// movesThatLeaveRoom returns the moves of runs to make room for a new task that leave enough room to finite
// steps.
func (m *Machine) movesThatLeaveRoom(ws *waitingStep, step *workload.Step, moves []runMove) []runMove {
	return slices.DeleteFunc(moves, func(move runMove) bool {
		moved := reservation(move.run.step).MilliCPU
		return !m.finiteRoom.admits(classOfStep(ws), taking{move.run.worker, reservation(step).MilliCPU - moved}, taking{move.to, moved})
	})
}

// workersThatLeaveRoom returns the workers that may be held for a long-running step: if it yields to finite
// steps, those that have room once their finite runs have ended, and room that finite steps don't need.
func (m *Machine) workersThatLeaveRoom(ws *waitingStep, workers []*worker) []*worker {
	step := &ws.entry.Steps[ws.stepIndex]
	if !ws.yields {
		return workers
	}
	var out []*worker
	for _, w := range workers {
		if w.hasRoomInTime(step) && m.admits(ws, step, w) {
			out = append(out, w)
		}
	}
	return out
}
