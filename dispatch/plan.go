package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// plan runs a planning round: it places waiting tasks on workers.
func (m *Machine) plan() {
	m.planNeeded = false
	if m.logStalled() || m.viewExpired() || m.config.grantable() < minStartLease {
		m.planNeeded = true
		return
	}
	limit := min(maxPlacements, m.starts.room())
	if limit <= 0 {
		m.planNeeded = true
		return
	}
	waiting, leaving := m.waitingSteps(), m.leavingSteps()
	waiting = m.beginRound(waiting, leaving)
	if len(waiting)+len(leaving) == 0 {
		clear(m.shortages)
		return
	}
	workers, suspected := m.usableWorkers(), newCandidates(m.suspectedWorkers())
	if len(workers)+len(suspected.workers) == 0 {
		return
	}
	m.favourLargest(waiting)
	m.markBeyondShares(waiting, workers)
	defer m.keepFiniteRoom(workers)()
	round := newHeldWorkers(workers)
	defer func() { m.held = round.held }()
	workers, placed := m.placeSuspects(round, waiting, workers)
	waiting = withLeaving(waiting, leaving)
	m.shares = m.newRoomShares(waiting, workers)
	displacement, repacking := m.newDisplacement(workers), m.newRepacking(workers)
	longRunning, finite, bestEffort := newCandidates(workers), newCandidates(workers), newCandidates(workers)
	paced, clearing := newCandidates(workers), newCandidates(m.clearingWorkers(workers))
	failedHolds, failedFavoured := make(unplaceable), make(unplaceable)
	for ws := range m.shares.inTurn(waiting) {
		switch step := &ws.entry.Steps[ws.stepIndex]; {
		case m.isBarredByCap(ws):
		case step.LongRunning:
			placed += m.placeLongRunning(longRunning, suspected, ws, limit-placed)
			placed += m.placeAhead(clearing, ws, limit-placed)
			m.displaceFor(displacement, ws)
			m.repackFor(repacking, ws)
			held := m.workersToHold(round, ws, bestEffort.workers, failedHolds)
			bestEffort.workers, finite.workers = without(bestEffort.workers, held), without(finite.workers, held)
		case step.BestEffort:
			placed += m.placeBestEffort(bestEffort, paced, ws, limit-placed)
		default:
			placed += m.placeOn(finite, ws, min(limit-placed, m.shares.limit(ws)))
			m.leaveRoom(clearing, ws)
			if ws.favoured && !m.isWaitingForRack(ws.state) {
				// Best-effort tasks reserve no CPU, and go on there.
				finite.workers = without(finite.workers, m.workersToHold(round, ws, finite.workers, failedFavoured))
			}
		}
		if placed >= limit {
			m.planNeeded = true
			return
		}
		// What is left of a cap is kept for the tasks that it did not suffice for.
		m.keepCapFor(ws)
	}
}

// beginRound ends holds and claims that have no reason any more, and returns the steps that take part in a
// planning round.
func (m *Machine) beginRound(waiting, leaving []*waitingStep) []*waitingStep {
	m.forgetHolds(slices.Concat(waiting, leaving))
	m.endClaims()
	m.places.beginRound()
	return m.withoutCapped(waiting)
}

// placeLongRunning places tasks of a long-running step, or moves its runs from draining workers.
// It returns the number of both.
func (m *Machine) placeLongRunning(c, suspected *candidates, ws *waitingStep, limit int) int {
	if len(ws.leaving) > 0 {
		return m.moveLeaving(c, ws)
	}
	placed := m.placeClaimed(ws)
	placed += m.placeOn(c, ws, limit-placed)
	if len(suspected.workers) > 0 && placed < limit {
		placed += m.placeOnSuspected(suspected, ws)
	}
	return placed
}

// placeOnSuspected places tasks of a long-running step on suspected workers, one on each in a
// round, and returns the number of tasks.
func (m *Machine) placeOnSuspected(c *candidates, ws *waitingStep) int {
	step := &ws.entry.Steps[ws.stepIndex]
	if step.Gang {
		return 0
	}
	placed := 0
	for range m.missing(ws) {
		if m.placeOn(c, ws, 1) == 0 {
			break
		}
		placed++
		c.workers = slices.DeleteFunc(c.workers, (*worker).hasUnprovenRun)
	}
	return placed
}

// candidates are the workers that a planning round may use for steps of one kind, with
// the requests that none of them could take.
type candidates struct {
	workers []*worker
	failed  unplaceable
}

func newCandidates(workers []*worker) *candidates {
	return &candidates{workers: workers, failed: make(unplaceable)}
}

// placeOn places tasks of a step on the candidates and returns how many it placed: at most
// limit, or one, or a gang as a whole.
func (m *Machine) placeOn(c *candidates, ws *waitingStep, limit int) int {
	if c.failed.covers(ws) {
		return 0
	}
	tasks := m.withinCap(ws, m.unclaimedTasks(ws))
	if len(tasks) == 0 {
		return 0
	}
	step := &ws.entry.Steps[ws.stepIndex]
	if !step.Gang {
		tasks = tasks[:min(len(tasks), max(1, limit))]
	}
	n := m.placeTasks(ws, tasks, c.workers)
	switch {
	case n > 0, m.isWaitingForRack(ws.state):
	case step.MaxPerWorker > 0 && !step.Gang && !slices.ContainsFunc(c.workers, func(w *worker) bool { return w.hasRoom(step) }):
		// It is not the limit that keeps the step from a worker.
		c.failed.addRequest(ws)
	default:
		c.failed.add(ws)
	}
	return n
}

// waitingSteps returns the due steps that have tasks to place, the most urgent
// first.
func (m *Machine) waitingSteps() []*waitingStep {
	var out []*waitingStep
	live := m.ledger.Live()
	index := m.newWorkIndex(live)
	for _, e := range live {
		if e.State().Final() || m.unconfirmed(e) {
			continue
		}
		for number := range e.OccurrenceCount() {
			due := e.DueAt(number)
			if e.Scheduled() && due.Add(-m.config.StartEarly).After(m.wall) {
				break
			}
			out = m.waitingStepsOf(out, e, number, due, index)
		}
	}
	slices.SortStableFunc(out, compareUrgency)
	return out
}

func (m *Machine) waitingStepsOf(out []*waitingStep, e *ledger.Entry, number int, due time.Time, index workIndex) []*waitingStep {
	o := e.Occurrence(number)
	if o.Done() {
		return out
	}
	for s := range o.Steps {
		state := &o.Steps[s]
		occupied := m.occupied[state]
		if state.Local() <= occupied || e.Steps[s].Gang && occupied > 0 {
			continue
		}
		// The tasks of a guest were ready in the cell that released them.
		if !e.Guest() && !o.Ready(e.Steps, s) {
			continue
		}
		x := m.expected(e)
		ws := &waitingStep{
			entry: e, occurrence: number, stepIndex: s, state: state, image: m.model.idOf(e.Steps[s].Image),
			priority: e.Policy.Priority, timeliness: timelinessOf(e, x, s, m.wall.Sub(due)),
			remaining: index.remaining(e, x, o, s), due: due.UnixNano() + int64(x.objective),
		}
		ws.yields, ws.beyondRate = m.yieldsRoom(ws), m.tenants.overRate.beyond[e]
		out = append(out, ws)
	}
	return out
}

// waitingTasks returns the tasks of this cell that are not done and not occupied.
func (m *Machine) waitingTasks(tasks []ledger.Task) []*ledger.Task {
	out := make([]*ledger.Task, 0, len(tasks))
	for i := range tasks {
		if t := &tasks[i]; m.isWaiting(t) {
			out = append(out, t)
		}
	}
	return out
}

// suspectedWorkers returns the workers that may be given long-running runs alone, in ascending order
// of id.
func (m *Machine) suspectedWorkers() []*worker {
	var out []*worker
	for _, w := range m.sorted {
		if m.now < w.suspectedUntil && m.acceptsLongRunning(w) && !w.hasUnprovenRun() {
			out = append(out, w)
		}
	}
	return out
}

// usableWorkers returns the workers that may be given new runs, in ascending order
// of id.
func (m *Machine) usableWorkers() []*worker {
	var out []*worker
	for _, w := range m.sorted {
		if m.usable(w) {
			out = append(out, w)
		}
	}
	return out
}

// usable reports whether a worker may be given new runs of any kind.
func (m *Machine) usable(w *worker) bool {
	return m.acceptsLongRunning(w) && m.now >= w.suspectedUntil
}

// hasUnprovenRun reports whether a long-running run on a worker has not been at work yet.
func (w *worker) hasUnprovenRun() bool {
	return slices.ContainsFunc(w.runList, func(r *run) bool { return r.step.LongRunning && r.progressPercent < 100 })
}

// acceptsLongRunning reports whether a worker may be given new runs of long-running tasks.
func (m *Machine) acceptsLongRunning(w *worker) bool {
	return !m.viewExpired() && w.listed && w.reported && !w.silent && w.bar == leasesAllowed && !w.Draining && !m.evacuated[w.DataCentre] && m.now >= w.pausedUntil && w.isolated == 0
}

// placeTasks places waiting tasks of a step, as far as workers have free capacity, and
// returns how many it placed. A gang is placed as a whole or not at all.
func (m *Machine) placeTasks(ws *waitingStep, tasks []*ledger.Task, workers []*worker) int {
	onRack, waits := m.rackForGroup(ws, &ws.entry.Steps[ws.stepIndex], workers)
	if waits {
		return 0
	}
	if len(onRack) < len(workers) {
		if n := m.placeTasksOn(ws, tasks, onRack); n > 0 {
			return n
		}
	}
	return m.placeTasksOn(ws, tasks, workers)
}

// placeTasksOn does the same with no other choice of a rack than the score.
func (m *Machine) placeTasksOn(ws *waitingStep, tasks []*ledger.Task, workers []*worker) int {
	step := &ws.entry.Steps[ws.stepIndex]
	number := int64(0)
	if step.Gang {
		for _, t := range tasks {
			number = max(number, t.Run)
		}
	}
	var placed []*run
	ranking := m.rankWorkers(ws, step, workers)
	for _, t := range interruptedFirst(step, tasks) {
		w := ranking.take(m.avoid[t.ID])
		for w != nil && !m.leavesRoom(ws, step, t, w) {
			w = ranking.take(m.avoid[t.ID])
		}
		if w == nil {
			break
		}
		if m.waitsForRack(ws, step, w, cmp.Or(step.DataRack, ranking.rack), workers) {
			m.reinsert(ranking, ws, step, w)
			continue
		}
		m.countOvertaking(ws.state, step, w)
		r := m.place(ws, t, max(number, t.Run)+1, w)
		if r == nil {
			break
		}
		placed = append(placed, r)
		if step.SameRack && len(placed) == 1 {
			// The first run determines the rack, on which all scores depend.
			ranking = m.rankWorkers(ws, step, workers)
			continue
		}
		if !ws.suspect || step.Gang {
			m.reinsert(ranking, ws, step, w)
		}
	}
	if step.Gang && len(placed) < len(tasks) {
		for _, r := range placed {
			m.removeRun(r)
		}
		m.planNeeded = false
		return 0
	}
	for _, r := range placed {
		m.recordRun(r)
	}
	m.notePlaced(ws, placed)
	if len(placed) > 0 {
		delete(m.holds, ws.state)
		m.tenants.caps.notePlaced(ws)
		m.noteBestEffortPlaced(ws.state)
	}
	return len(placed)
}

// assignedRack returns the rack on which a same-rack step already has a run, or ""
// if there is none.
func (m *Machine) assignedRack(ws *waitingStep, step *workload.Step) string {
	if !step.SameRack {
		return ""
	}
	for _, r := range m.byEntry[ws.entry.ID] {
		if r.id.Task.Step == ws.stepIndex && r.id.Task.Occurrence == ws.occurrence {
			return r.worker.Rack
		}
	}
	return ""
}
