package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// Parameters for best-effort runs that are paced: they get a part of their CPU time, and
// interfere in proportion.
const (
	// bestEffortWaitBound is how long the tasks of a best-effort step wait for a worker that
	// can take one at its full pace. After that, they are placed to be paced. If the
	// submission can only end very late, its tasks wait no longer than veryLateWaitBound.
	bestEffortWaitBound = 12 * time.Second
	veryLateWaitBound   = 6 * time.Second
	// pacedPlacementInterval is the minimum time between two such placements on a worker.
	pacedPlacementInterval = settlingTime
	// maxBoundHalvings limits how often veryLateWaitBound is halved.
	maxBoundHalvings = 2
	// maxFullPaceStops is how many runs of a task, on average of its step, are stopped
	// because they interfered before its runs are paced from the start.
	maxFullPaceStops = 3
	// minPace is the pace, in percent, that a run is given without headroom: it stays within
	// the margins that the headroom leaves. It is suspended while a target is missed. Paces
	// are multiples of paceStep, and rise by maxPaceRise within settlingTime.
	minPace     = 10
	paceStep    = 5
	maxPaceRise = 20
	// maxPacedRuns limits the paced runs on a worker.
	maxPacedRuns = 5
	// maxSuspension is the time after which a run whose pace is 0 is stopped, so that it
	// is placed elsewhere.
	maxSuspension = 10 * time.Second
)

// paceFor returns the pace, in percent, at which runs that add a utilisation of pressure at
// their full pace use up the headroom below a latency target. It answers serving tasks that
// have some headroom all day and never enough for a best-effort run at its full pace.
func paceFor(headroom, pressure float64) int {
	percent := int(100 * max(headroom, 0) / max(pressure, negligibleUtilisation))
	return min(max(percent-percent%paceStep, minPace), 100)
}

// pressure returns the share of its worker's CPU by which a best-effort run interferes.
func (r *run) pressure() float64 {
	if !r.paced {
		return r.cpuShare()
	}
	return r.cpuShare() * float64(r.pace) / 100
}

// paceOn returns the pace that the tasks with a latency target on a worker leave to a
// best-effort image, if all paced runs that interfere with one of them have the same pace.
// share is the CPU share of a run to be added, or 0.
func (m *Machine) paceOn(w *worker, image imageID, share float64) int {
	pace := 100
	for _, s := range w.latencyRuns {
		interference := m.model.interference(s.image, image)
		if interference == 0 {
			continue
		}
		headroom, pressure := m.runHeadroom(w, s), share*interference
		for _, f := range w.bestEffortRuns {
			if f.paced {
				pressure += f.cpuShare() * m.model.interference(s.image, f.image)
			}
		}
		pace = min(pace, paceFor(headroom, pressure))
	}
	return pace
}

// controlPaces adapts the paces of a worker's runs to its report. While a task is over its
// target, no pace rises.
func (m *Machine) controlPaces(w *worker) {
	over := w.overTarget()
	for _, r := range w.bestEffortRuns {
		if r.phase != running || r.stopRequested {
			continue
		}
		if !r.paced {
			if r.paceUnknown {
				m.sendPace(r)
			}
			continue
		}
		if r.held {
			m.controlHeld(r)
			continue
		}
		pace := m.paceOn(w, r.image, 0)
		if over {
			pace = min(pace, r.pace)
		}
		settled := m.now-r.pacedAt >= settlingTime
		switch {
		case pace < r.pace:
			m.setPace(r, pace)
		case pace > r.pace && settled:
			m.setPace(r, min(pace, r.pace+maxPaceRise))
		case r.paceUnknown || settled && (r.pace == 0) != (r.usedMilliCPU == 0):
			m.sendPace(r)
		}
		if r.pace == 0 && m.now-r.suspendedAt > maxSuspension {
			m.avoid[r.id.Task] = w.ID()
			m.stopRun(r, "suspended for too long")
		}
	}
}

// pacedRuns counts the paced runs on the worker.
func (w *worker) pacedRuns() int {
	n := 0
	for _, r := range w.bestEffortRuns {
		if r.paced {
			n++
		}
	}
	return n
}

// setPace changes the pace of an active run.
func (m *Machine) setPace(r *run, percent int) {
	r.worker.endInterval(r, m.now)
	if percent == 0 && r.pace > 0 {
		r.suspendedAt = m.now
	}
	if r.pace == 0 {
		r.progressAt = m.now
	}
	if percent < r.pace {
		r.worker.bestEffortChanges.paced++
	}
	r.changePace(percent)
	r.worker.beginInterval(r, m.now)
	m.sendPace(r)
}

// changePace updates the CPU that the worker's best-effort runs are expected to use.
func (r *run) changePace(percent int) {
	r.worker.bestEffortCPU -= r.bestEffortCPU()
	r.paced, r.pace = true, percent
	r.worker.bestEffortCPU += r.bestEffortCPU()
	r.worker.runsVersion++
}

// bestEffortCPU returns the CPU that a best-effort run uses at most, in thousandths of a core.
func (r *run) bestEffortCPU() int64 {
	if r.paced {
		return r.step.Request.MilliCPU * int64(r.pace) / 100
	}
	return r.step.Request.MilliCPU
}

func (m *Machine) sendPace(r *run) {
	r.pacedAt, r.paceUnknown = m.now, false
	m.emit(Pace{Target: r.worker.target(), Run: r.id, Percent: r.pace})
}

// paceAnswered has the next report repeat an order that may not have been carried out.
func (m *Machine) paceAnswered(ev PaceAnswered) {
	if w := m.workers[ev.Worker]; w != nil {
		if r := w.runs[ev.Run]; r != nil && r.pace == ev.Percent && ev.Answer != Done {
			r.paceUnknown = true
		}
	}
}

// bestEffortWait is what decides when the tasks of a best-effort step are overdue.
type bestEffortWait struct {
	entry *ledger.Entry
	// placedAt is when one of them was last placed or, before that, when they were first seen.
	placedAt time.Duration
	// stops counts the runs at full pace that were stopped because they interfered.
	stops int
	// overdue: one of them has been placed to be paced. pacedOnly: all are, since their runs
	// at full pace were stopped again and again.
	overdue, pacedOnly bool
}

// bestEffortWaitOf returns the wait of a step, which begins now if it is not known.
func (m *Machine) bestEffortWaitOf(e *ledger.Entry, state *ledger.Step) *bestEffortWait {
	wait := m.bestEffortWaits[state]
	if wait == nil {
		wait = &bestEffortWait{entry: e, placedAt: m.now}
		m.bestEffortWaits[state] = wait
	}
	return wait
}

func (m *Machine) noteBestEffortPlaced(state *ledger.Step) {
	if wait := m.bestEffortWaits[state]; wait != nil {
		wait.placedAt = m.now
	}
}

func (m *Machine) noteInterrupted(r *run) {
	state := &r.entry.Occurrence(r.id.Task.Occurrence).Steps[r.id.Task.Step]
	wait := m.bestEffortWaitOf(r.entry, state)
	wait.stops++
	wait.pacedOnly = wait.stops >= maxFullPaceStops*r.step.Tasks
}

// overdue reports whether no task of a best-effort step has been placed for its bound. That
// of very late tasks halves with each run that was stopped, so that the waits don't add up. A
// step that was overdue once has a run all the time.
func (m *Machine) overdue(ws *waitingStep) bool {
	wait := m.bestEffortWaits[ws.state]
	switch {
	case wait == nil:
		return false
	case (wait.overdue || wait.pacedOnly) && m.occupied[ws.state] == 0:
		return true
	}
	bound := bestEffortWaitBound
	if ws.timeliness == veryLate {
		bound = veryLateWaitBound >> min(wait.stops, maxBoundHalvings)
	}
	return m.now-wait.placedAt >= bound
}

// placeBestEffort places tasks of a best-effort step, at full pace or, if it is overdue, one
// that is paced. It returns how many it placed.
func (m *Machine) placeBestEffort(fullPace, paced *candidates, ws *waitingStep, limit int) int {
	n := 0
	if wait := m.bestEffortWaits[ws.state]; wait == nil || !wait.pacedOnly {
		n = m.placeOn(fullPace, ws, limit)
	}
	if n == 0 && m.overdue(ws) {
		n = m.placePaced(paced, ws)
	}
	return n
}

// placePaced places one task of an overdue best-effort step on the worker that leaves it
// the highest pace, and returns how many it placed.
func (m *Machine) placePaced(c *candidates, ws *waitingStep) int {
	step := &ws.entry.Steps[ws.stepIndex]
	if step.Gang || c.failed.covers(ws) {
		return 0
	}
	tasks := m.unsuspectedTasks(ws)
	if len(tasks) == 0 || m.tasksWithinCap(ws.entry, step) == 0 {
		return 0
	}
	t := slices.MinFunc(tasks, func(a, b *ledger.Task) int { return cmp.Compare(a.Run, b.Run) })
	var best *worker
	most := 0
	for _, w := range c.workers {
		recent := w.pacedPlacementAt > 0 && m.now-w.pacedPlacementAt < pacedPlacementInterval
		if recent || w.pacedRuns() >= maxPacedRuns || !w.hasRoom(step) || !suits(ws, step, w) || w.overTarget() {
			continue
		}
		pace := m.paceOn(w, ws.image, w.cpuShare(step))
		if w.ID() == m.avoid[t.ID] {
			pace = 1
		}
		if pace > most || pace == most && best != nil && w.unusedCPU() > best.unusedCPU() {
			best, most = w, pace
		}
	}
	if best == nil {
		c.failed.add(ws)
		return 0
	}
	r := m.place(ws, t, t.Run+1, best)
	if r == nil {
		return 0
	}
	best.pacedPlacementAt = m.now
	r.changePace(max(most, minPace))
	m.recordRun(r)
	m.bestEffortWaits[ws.state].overdue = true
	m.noteBestEffortPlaced(ws.state)
	return 1
}
