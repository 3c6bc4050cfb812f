package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/preemption"
	"github.com/cactusreel/cactusreel/workload"
)

// Bounds of moves, which make room for long-running tasks where the free room is spread over workers
// none of which has enough. A moved task is away for as long as a stop and a start take.
const (
	// moveInterval is the least time between two searches for a run to move, fruitlessInterval that
	// after a search that found none.
	moveInterval      = 100 * time.Millisecond
	fruitlessInterval = 500 * time.Millisecond
	// newTaskDelay is how much longer a task waits that has not had a run: it is new work like
	// other work of its priority, which pays for the room. Callers of an interrupted one wait.
	newTaskDelay = 4 * time.Second
	// movingShare is the part of the usable workers from which runs may be moved at a time, as a
	// divisor.
	movingShare = 32
)

// repacking is a search, in a planning round, for a run to move.
type repacking struct {
	workers []*worker
	search  *moveSearch
	// rooms are the workers with the runs that a task of a priority may displace.
	rooms map[repackKey]roomyWorker
	// done: a run is being moved; the search does not know the room that this takes.
	done bool
}

type repackKey struct {
	worker   *worker
	priority int
}

// newRepacking returns a search on workers, or nil if the last one was too recent, enough runs are
// being moved or a stopped run could not be replaced.
func (m *Machine) newRepacking(workers []*worker) *repacking {
	if m.now < m.nextMoveAt || m.obstacleToMoves(len(workers)) != noObstacle {
		return nil
	}
	return &repacking{workers: workers, rooms: make(map[repackKey]roomyWorker)}
}

// repackFor moves one long-running run to another worker for a task of a long-running step that has
// waited for its delay. Each move places a waiting task, the moved one keeps a place, and the moves
// of a task are limited, so that no tasks take turns.
func (m *Machine) repackFor(p *repacking, ws *waitingStep) {
	step, wait := &ws.entry.Steps[ws.stepIndex], m.longWaits[ws.state]
	if p == nil || p.done || wait == nil || ws.leaving != nil || step.Gang || step.BestEffort || p.search.hasNoneFor(ws) {
		return
	}
	for i := range ws.state.Tasks {
		t := &ws.state.Tasks[i]
		if wait.hasWaited(t.ID, m.now, displaceDelay) && m.isMoveDue(ws, wait, t) && m.isUnclaimed(ws, t) && (!ws.beyondShare || !isNew(t)) {
			// The step's other tasks request the same.
			p.done = m.tasksWithinCap(ws.entry, step) > 0 && m.moveOneFor(p, ws, step, t)
			return
		}
	}
}

// isMoveDue reports whether a task has waited for so long that a run may be moved for it. A new task's
// longer delay goes on over takeovers: an owner that has just seen the task first knows when it was due.
func (m *Machine) isMoveDue(ws *waitingStep, wait *longWait, t *ledger.Task) bool {
	waited, delay := m.now-wait.waitingSince(t.ID, m.now), m.displaceDelay(t)
	if waited < delay || t.Run > 0 {
		return waited >= delay
	}
	if len(wait.step.After) == 0 {
		waited = max(waited, m.wall.Sub(ws.entry.DueAt(ws.occurrence)))
	}
	return waited >= delay+newTaskDelay
}

// moveOneFor moves the run that makes room for a task at the least cost, and displaces finite runs of a
// lower priority on both workers as far as they are in the way: a move takes room on two workers, so
// it would cost urgent work twice as much as displacing on one. It reports whether it did.
func (m *Machine) moveOneFor(p *repacking, ws *waitingStep, step *workload.Step, t *ledger.Task) bool {
	if p.search == nil {
		p.search = m.newMoveSearch(p.workers)
		m.nextMoveAt, m.moveSearchFailed = m.now+fruitlessInterval, true
	}
	moves := p.search.find(ws)
	if ws.yields {
		moves = m.movesThatLeaveRoom(ws, step, moves)
	}
	if len(moves) == 0 || m.fitsAfterDisplacing(p, ws, step) {
		return false
	}
	best, victims := m.bestMove(p, ws, t, moves)
	if best.run == nil {
		return false
	}
	r := best.run
	m.nextMoveAt, m.moveSearchFailed = m.now+moveInterval, false
	m.claim(ws, t, r.worker, reservation(step))
	m.claimForMoved(r, best.to)
	m.countDisplacement(r.entry, r.id.Task)
	for _, victim := range victims {
		m.displace(victim, t.ID)
	}
	r.displaced = true
	m.stopRun(r, fmt.Sprintf("moves to %s and makes room for long-running task %s", best.to.ID(), t.ID.Name()))
	return true
}

// bestMove returns the move that costs the least for a task, with the finite runs that have to be
// displaced for it, or one without a run if each needs room of finite runs that stay.
func (m *Machine) bestMove(p *repacking, ws *waitingStep, t *ledger.Task, moves []runMove) (runMove, []*run) {
	request := reservation(&ws.entry.Steps[ws.stepIndex])
	var best runMove
	var victims []*run
	bestCost, possible := 0.0, 0
	for _, move := range moves {
		moved := reservation(move.run.step)
		here, cost, ok := m.victimsOf(p, move.run.worker, ws.priority+1, moved, request)
		if !ok {
			continue
		}
		there, more, ok := m.victimsOf(p, move.to, ws.priority+1, hostapi.Resources{}, moved)
		if !ok || !p.search.canStillMove(move.run) {
			continue
		}
		cost += more + m.avoidanceCost(t, move)
		if best.run == nil || cost < bestCost {
			best, victims, bestCost = move, slices.Concat(here, there), cost
		}
		if possible++; possible == maxMovesCompared {
			break
		}
	}
	return best, victims
}

// fitsAfterDisplacing reports whether a worker could take a task of a step if finite runs there were
// displaced, or those that are being stopped had ended. A later round then places the task without a
// move.
func (m *Machine) fitsAfterDisplacing(p *repacking, ws *waitingStep, step *workload.Step) bool {
	return slices.ContainsFunc(p.workers, func(w *worker) bool {
		if w.claimed != (hostapi.Resources{}) || !w.hasRoomInTime(step) || !suits(ws, step, w) {
			return false
		}
		_, _, ok := m.victimsOf(p, w, ws.priority, hostapi.Resources{}, reservation(step))
		return ok
	})
}

// avoidanceCost returns the cost of a move for a task if one of the two tasks last failed where it
// would be placed.
func (m *Machine) avoidanceCost(t *ledger.Task, move runMove) float64 {
	cost := 0.0
	if m.avoid[t.ID] == move.run.worker.ID() {
		cost += avoidCost
	}
	if m.avoid[move.run.id.Task] == move.to.ID() {
		cost += avoidCost
	}
	return cost
}

// victimsOf returns the finite runs to displace on a worker, with their cost, so that a request fits
// there once more room has become free.
func (m *Machine) victimsOf(p *repacking, w *worker, priority int, more, request hostapi.Resources) ([]*run, float64, bool) {
	key := repackKey{w, priority}
	room, known := p.rooms[key]
	if !known {
		room = m.roomyWorkers([]*worker{w}, priority)[0]
		p.rooms[key] = room
	}
	selected, cost, ok := preemption.Select(w.Capacity.Sub(w.reserved).Add(w.stoppingReserved()).Add(more), request, room.victims)
	var victims []*run
	for _, i := range selected {
		victims = append(victims, room.runs[i])
	}
	return victims, cost, ok
}
