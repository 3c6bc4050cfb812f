package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// leaveMargin is how long before a worker leaves the end of a stop there should be listed at
// the latest: the command and the report that lists the end may be slow.
const leaveMargin = 500 * time.Millisecond

// moveAppendTimeout is the age of an unanswered append from which no run is moved. An append
// usually takes some tens of milliseconds, and a run that is stopped when the store goes away can't
// be replaced.
const moveAppendTimeout = 250 * time.Millisecond

// isMovable reports whether a run goes on until it is stopped, so that its task can be moved.
func (r *run) isMovable() bool {
	return r.step.LongRunning && r.phase == running && !r.stopRequested
}

// needsPlace reports whether the task of a run on a draining worker needs a place: of one that
// is to be moved, is being stopped, or was placed by a previous owner.
func (r *run) needsPlace() bool {
	if !r.step.LongRunning || r.place != nil || r.entry.State().Final() {
		return false
	}
	return r.isMovable() || r.phase == stopping || r.phase == starting && r.inherited
}

// updateLeavesAt updates the time before which a draining worker does not leave. Its new entry
// was written after the previous read of the list was sent. If that is not known, the worker may
// leave at any time.
func (m *Machine) updateLeavesAt(w *worker, info *workload.Worker) {
	switch {
	case !info.Draining:
		w.leavesAt = 0
	case info.Remaining > 0 && m.views.known[WorkerList] && (!w.Draining || info.Remaining != w.Remaining):
		w.leavesAt = max(w.leavesAt, m.views.readAt[WorkerList]+info.Remaining)
	}
}

// forgetLeaveTimes forgets when draining workers leave: the time for which the VM was suspended is
// not counted.
func (m *Machine) forgetLeaveTimes() {
	for _, w := range m.sorted {
		w.leavesAt = 0
	}
}

// stopLeaving stops the long-running runs on a draining worker whose tasks have a place, and all
// when a stop can only just be carried out and listed before the worker leaves. It saves their
// progress, and their tasks need not wait for the worker's lease.
func (m *Machine) stopLeaving(w *worker) {
	if w.silent {
		return
	}
	leavesSoon := m.now >= w.leavesAt-m.config.StopTime-leaveMargin
	for _, r := range w.runList {
		switch {
		case !r.isMovable():
		case r.place != nil:
			m.stopRun(r, "worker is draining")
		case leavesSoon:
			m.stopRun(r, "worker is about to leave")
		}
	}
}

// leavingSteps returns the steps with runs on draining workers whose tasks need a place. A worker
// that does not answer can't be told to stop them.
func (m *Machine) leavingSteps() []*waitingStep {
	var out []*waitingStep
	index := make(map[*ledger.Step]int)
	for _, w := range m.sorted {
		if !w.Draining || w.silent {
			continue
		}
		for _, r := range w.runList {
			if !r.needsPlace() {
				continue
			}
			task := r.id.Task
			state := &r.entry.Occurrence(task.Occurrence).Steps[task.Step]
			if _, known := index[state]; !known {
				index[state] = len(out)
				due := r.entry.DueAt(task.Occurrence)
				out = append(out, &waitingStep{
					entry: r.entry, occurrence: task.Occurrence, stepIndex: task.Step, state: state, image: r.image,
					priority: r.entry.Policy.Priority, timeliness: timelinessOf(r.entry, m.expected(r.entry), task.Step, m.wall.Sub(due)),
					due: due.UnixNano() + int64(m.expected(r.entry).objective),
				})
			}
			ws := out[index[state]]
			ws.leaving = append(ws.leaving, r)
		}
	}
	return out
}

// withLeaving adds steps with runs to move to those that wait, in order.
func withLeaving(waiting, leaving []*waitingStep) []*waitingStep {
	if len(leaving) == 0 {
		return waiting
	}
	out := slices.Concat(waiting, leaving)
	slices.SortStableFunc(out, compareUrgency)
	return out
}

// moveLeaving reserves room on the candidates for the tasks of a step that leave draining workers, as
// far as there is any, and stops their runs. A gang is moved as a whole or not at all. It returns
// the number of tasks for which there is room.
func (m *Machine) moveLeaving(c *candidates, ws *waitingStep) int {
	if c.failed.covers(ws) || !m.listFresh() || m.appendUnanswered(moveAppendTimeout) {
		return 0
	}
	step := &ws.entry.Steps[ws.stepIndex]
	ranking := m.rankWorkers(ws, step, c.workers)
	moved := 0
	for _, r := range ws.leaving {
		w := ranking.take("")
		if w == nil {
			break
		}
		m.reservePlace(r, w)
		m.reinsert(ranking, ws, step, w)
		moved++
	}
	if moved < len(ws.leaving) {
		c.failed.add(ws)
		if step.Gang {
			for _, r := range ws.leaving[:moved] {
				m.releasePlace(r)
			}
			return 0
		}
	}
	for _, r := range ws.leaving[:moved] {
		if r.isMovable() {
			m.stopRun(r, "worker is draining")
		}
	}
	ws.leaving = slices.Clone(ws.leaving[moved:])
	return moved
}

// listFresh reports whether the list of workers was read so recently that the store is probably
// available: a stopped run can't be replaced without it.
func (m *Machine) listFresh() bool {
	limit := m.config.MaxViewAge[WorkerList]
	return limit == 0 || m.views.known[WorkerList] && m.viewAge(WorkerList) <= limit/2
}

// reservePlace reserves capacity on a worker for the run that will replace this one, until this
// one has been removed or keepsPlace does not hold any more.
func (m *Machine) reservePlace(r *run, w *worker) {
	r.place = w
	m.withPlace[r] = true
	w.adjustPlace(r.step, r.stepKey(), 1)
}

func (m *Machine) releasePlace(r *run) {
	if r.place == nil {
		return
	}
	r.place.adjustPlace(r.step, r.stepKey(), -1)
	r.place = nil
	delete(m.withPlace, r)
}

// keepsPlace reports whether the place of a run stays reserved: its worker drains and answers, and
// the worker of the place can be used. A run on a worker that does not answer may have to be waited
// for until its lease expires.
func (m *Machine) keepsPlace(r *run) bool {
	p := r.place
	return r.worker.Draining && !r.worker.silent &&
		p.listed && !p.Draining && !p.silent && !m.evacuated[p.DataCentre]
}

// releasePlaces ends the reservations for which keepsPlace does not hold.
func (m *Machine) releasePlaces() {
	for r := range m.withPlace {
		if !m.keepsPlace(r) {
			m.releasePlace(r)
		}
	}
}

func (w *worker) adjustPlace(step *workload.Step, key stepKey, sign int64) {
	w.reserved = addTimes(w.reserved, reservation(step), sign)
	w.longRunning = addTimes(w.longRunning, reservation(step), sign)
	if step.MaxPerWorker > 0 {
		w.countLimited(key, int(sign))
	}
}
