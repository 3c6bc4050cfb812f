package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/preemption"
	"github.com/cactusreel/cactusreel/workload"
)

// Bounds of displacing, which answers the load of workers that are lost while the others are
// full of finite runs: their long-running tasks would wait until such runs end by themselves.
const (
	// displaceDelay is how long a long-running task waits first for room that becomes free by
	// itself. It doubles with each time that runs were stopped for the task, up to
	// maxDisplaceDelay: a task that fails again and again would displace without end.
	displaceDelay    = 500 * time.Millisecond
	maxDisplaceDelay = 4 * time.Second
	// displaceInterval is the least time between two searches for runs to displace, and
	// maxClaimsPerSearch limits the tasks of one search.
	displaceInterval   = 100 * time.Millisecond
	maxClaimsPerSearch = 8
	// claimedShare is the part of the usable workers that may be claimed at a time, as a divisor.
	claimedShare = 4
	// maxDisplacements is how often a task is displaced in an epoch.
	maxDisplacements = 2
)

// displacements counts how often runs were stopped for a long-running task or it was moved, or how
// often a finite one was displaced.
type displacements struct {
	entry *ledger.Entry
	count int
}

// countDisplacement counts for a task, and forgets those of submissions that have ended.
func (m *Machine) countDisplacement(e *ledger.Entry, id workload.TaskID) {
	maps.DeleteFunc(m.displacements, func(_ workload.TaskID, d displacements) bool { return d.entry.State().Final() })
	m.displacements[id] = displacements{entry: e, count: m.displacements[id].count + 1}
}

// displacement is a search, in a planning round, for runs to displace.
type displacement struct {
	workers []*worker
	// left is how many more workers may be claimed.
	left int
	// rooms are the workers with the runs that a task of a priority may displace.
	rooms map[int][]roomyWorker
	// failed are the requests for which no room can be made.
	failed unplaceable
	// soonFree are the workers on which runs that are being stopped already make room for a task.
	soonFree map[*worker]bool
}

// roomyWorker is a worker with the runs that may be displaced there, the cheapest first.
type roomyWorker struct {
	worker  *worker
	runs    []*run
	victims []preemption.Candidate
}

// newDisplacement returns a search on workers, or nil if the last one was too recent.
func (m *Machine) newDisplacement(workers []*worker) *displacement {
	left := min(maxClaimsPerSearch, max(1, len(workers)/claimedShare)-len(m.claims))
	if left <= 0 || m.now-m.displacedAt < displaceInterval {
		return nil
	}
	return &displacement{workers: workers, left: left, rooms: make(map[int][]roomyWorker), failed: make(unplaceable), soonFree: make(map[*worker]bool)}
}

// displaceFor displaces finite runs for the tasks of a long-running step that have waited for
// their delay. Gangs are left out: room for one member is of no use.
func (m *Machine) displaceFor(d *displacement, ws *waitingStep) {
	step, wait := &ws.entry.Steps[ws.stepIndex], m.longWaits[ws.state]
	if d == nil || d.left <= 0 || wait == nil || ws.leaving != nil || step.Gang || step.BestEffort || d.failed.covers(ws) {
		return
	}
	for i := range ws.state.Tasks {
		t := &ws.state.Tasks[i]
		if !wait.hasWaited(t.ID, m.now, displaceDelay) || !wait.hasWaited(t.ID, m.now, m.displaceDelay(t)) || !m.isUnclaimed(ws, t) {
			continue
		}
		if m.tasksInTurn(ws) == 0 {
			return
		}
		if ws.beyondShare && isNew(t) {
			continue
		}
		m.displacedAt = m.now
		if d.left <= 0 || !m.displaceOne(d, ws, step, t) {
			d.failed.addTask(ws, m.yields(ws, t))
			if d.left > 0 && !ws.yields && m.yields(ws, t) {
				continue
			}
			return
		}
		d.left--
	}
}

// displaceDelay returns how long a task waits before runs are stopped for it. Another cell
// may have room.
func (m *Machine) displaceDelay(t *ledger.Task) time.Duration {
	delay := min(displaceDelay<<min(m.displacements[t.ID].count, 8), maxDisplaceDelay)
	if m.config.CellOf != nil {
		delay += transferDelay
	}
	return delay
}

// displaceOne stops the runs that lose the least and claims their worker for a task, unless
// enough runs are being stopped already. It reports whether there is room for the task.
func (m *Machine) displaceOne(d *displacement, ws *waitingStep, step *workload.Step, t *ledger.Task) bool {
	if d.rooms[ws.priority] == nil {
		d.rooms[ws.priority] = m.roomyWorkers(d.workers, ws.priority)
	}
	request := reservation(step)
	best, bestCost := -1, 0.0
	var selected []int
	for i, room := range d.rooms[ws.priority] {
		w := room.worker
		if d.soonFree[w] || w.claimed != (hostapi.Resources{}) || !suits(ws, step, w) || !request.Add(w.longRunning).Fits(w.Capacity) || !m.leavesRoom(ws, step, t, w) {
			continue
		}
		free := w.Capacity.Sub(w.reserved).Add(w.stoppingReserved())
		victims, cost, ok := preemption.Select(free, request, room.victims)
		if w.ID() == m.avoid[t.ID] {
			cost += avoidCost
		}
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost, selected = i, cost, victims
		}
	}
	if best < 0 {
		return false
	}
	room := d.rooms[ws.priority][best]
	if len(selected) == 0 {
		d.soonFree[room.worker] = true
		return true
	}
	m.claim(ws, t, room.worker, request)
	for _, i := range selected {
		m.displace(room.runs[i], t.ID)
	}
	return true
}

// roomyWorkers returns the workers with the runs that a task of a priority may displace.
func (m *Machine) roomyWorkers(workers []*worker, priority int) []roomyWorker {
	out := make([]roomyWorker, 0, len(workers))
	for _, w := range workers {
		room := roomyWorker{worker: w}
		costs := make(map[*run]float64)
		for _, r := range w.runList {
			if m.displaceable(r, priority) {
				room.runs = append(room.runs, r)
				costs[r] = m.displacementCost(r)
			}
		}
		slices.SortStableFunc(room.runs, func(a, b *run) int { return cmp.Compare(costs[a], costs[b]) })
		for _, r := range room.runs {
			room.victims = append(room.victims, preemption.Candidate{Frees: reservation(r.step), Cost: costs[r]})
		}
		out = append(out, room)
	}
	return out
}

// stoppingReserved returns the part of reserved that becomes free within the stop time.
func (w *worker) stoppingReserved() hostapi.Resources {
	var sum hostapi.Resources
	for _, r := range w.runList {
		if r.phase == stopping {
			sum = sum.Add(reservation(r.step))
		}
	}
	return sum
}

// displace stops a run, with its gang, because its worker is needed for a task.
func (m *Machine) displace(r *run, needed workload.TaskID) {
	reason := "makes room for long-running task " + needed.Name()
	for _, member := range m.gangOf(r) {
		if member.stopRequested {
			continue
		}
		m.countDisplacement(member.entry, member.id.Task)
		member.displaced, member.discarded = true, member.unsavedWork(m.now)
		m.stopRun(member, reason)
	}
}
