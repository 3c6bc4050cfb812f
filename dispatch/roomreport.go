package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// roomChanges counts what made or took room since the last report on it.
type roomChanges struct {
	// ended and started count the long-running runs that have gone or were placed; freed is the
	// CPU of the former, in thousandths of a core.
	ended, started int
	freed          int64
	// cleared counts the cancelled or otherwise final submissions of which no run is left,
	// clearedIn is the longest time that this took.
	cleared   int
	clearedIn time.Duration
	// filled counts the pieces of room that became free while the task waited that got them,
	// filledIn is the longest time that this took, held for how long they were held in all.
	filled   int
	filledIn time.Duration
	held     holdTimes
	// longest describes the piece that took filledIn.
	longest string
}

// roomReport says how much room the long-running tasks that wait would need and have.
type roomReport struct {
	tasks, usable int
	// interrupted are the tasks that have had a run.
	interrupted int
	// requested, smallest, free and mostFree are CPU, in thousandths of a core: of all the
	// tasks, of the one with the smallest request, free on all usable workers, and on the one
	// with the most.
	requested, smallest, free, mostFree int64
	// fit are the tasks that fit a worker, fitByMove those that would after one long-running
	// run is moved, fitByMoveInTime those that would if the finite runs had ended as well; move
	// is an example of fitByMove.
	fit, fitByMove, fitByMoveInTime int
	move                            string
	// capped are those whose tenants are at their caps.
	capped int
	// kept are the tasks that fit only workers whose room is kept for finite steps.
	kept int
	// obstacles counts the tasks of fitByMoveInTime by what keeps a run from being moved for them
	// now, moveObstacle is that of move.
	obstacles    moveObstacles
	moveObstacle moveObstacle
	changes      roomChanges
}

// reportRoom emits a decision with the room for the long-running tasks, if one has waited for
// waitReportDelay.
func (m *Machine) reportRoom() {
	longest := time.Duration(0)
	var oldest workload.RunID
	for _, wait := range m.longRunningWaits {
		for _, t := range m.waitingTasks(wait.waiting.state.Tasks) {
			if age := m.now - wait.waitingSince(t.ID, m.now); age > longest {
				longest, oldest = age, workload.RunID{Task: t.ID, Run: t.Run + 1}
			}
		}
	}
	changes := m.roomChanges
	m.roomChanges = roomChanges{}
	if longest < waitReportDelay {
		return
	}
	report := m.findRoom()
	report.changes = changes
	m.emit(Decision{Kind: RoomReported, Run: oldest, Reason: report.String(), Age: longest, Obstacles: report.obstacles.counts()})
}

func (m *Machine) findRoom() roomReport {
	var r roomReport
	workers := m.usableWorkers()
	r.usable = len(workers)
	for _, w := range workers {
		free := w.free()
		r.free += free.MilliCPU
		r.mostFree = max(r.mostFree, free.MilliCPU)
	}
	defer m.keepFiniteRoom(workers)()
	p := &repacking{workers: workers, rooms: make(map[repackKey]roomyWorker), search: m.newMoveSearch(workers)}
	for _, wait := range m.longRunningWaits {
		ws, tasks := &wait.waiting, m.waitingTasks(wait.waiting.state.Tasks)
		if len(tasks) == 0 {
			continue
		}
		request := reservation(wait.step)
		r.requested += int64(len(tasks)) * request.MilliCPU
		if r.tasks == 0 || request.MilliCPU < r.smallest {
			r.smallest = request.MilliCPU
		}
		r.tasks += len(tasks)
		for _, t := range tasks {
			if t.Run > 0 {
				r.interrupted++
			}
		}
		if m.atCap(ws) {
			r.capped += len(tasks)
			continue
		}
		fitting := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !m.fits(ws, wait.step, w) })
		if len(fitting) > 0 {
			if m.yieldsRoom(ws) && !slices.ContainsFunc(fitting, func(w *worker) bool { return m.admits(ws, wait.step, w) }) {
				r.kept += len(tasks)
			} else {
				r.fit += len(tasks)
			}
			continue
		}
		moves := p.search.find(ws)
		if len(moves) == 0 {
			continue
		}
		r.fitByMoveInTime += len(tasks)
		obstacle := m.obstacleFor(p, wait, moves)
		r.obstacles[obstacle] += len(tasks)
		if move := moves[0]; move.free {
			r.fitByMove += len(tasks)
			r.moveObstacle = obstacle
			r.move = fmt.Sprintf("%dm from %s to %s for %dm", reservation(move.run.step).MilliCPU, move.run.worker.ID(), move.to.ID(), request.MilliCPU)
		}
	}
	return r
}

func (r roomReport) String() string {
	text := fmt.Sprintf("%d long-running tasks (%d have had a run) wait for %dm CPU, the smallest for %dm; %d usable workers have %dm free, one at most %dm; %d of the tasks fit a worker, %d after one run is moved",
		r.tasks, r.interrupted, r.requested, r.smallest, r.usable, r.free, r.mostFree, r.fit, r.fitByMove)
	if r.move != "" {
		text += fmt.Sprintf(" (%s, not yet: %v)", r.move, r.moveObstacle)
	}
	if r.kept > 0 {
		text += fmt.Sprintf(", %d fit only room that is kept for finite steps", r.kept)
	}
	if r.capped > 0 {
		text += fmt.Sprintf(", %d of tenants at their caps", r.capped)
	}
	c := r.changes
	text += fmt.Sprintf(", %d if finite runs are stopped as well", r.fitByMoveInTime)
	if r.fitByMoveInTime > 0 {
		text += fmt.Sprintf(" (not yet: %v)", r.obstacles)
	}
	return text + fmt.Sprintf("; since the last report %d long-running runs ended (%dm) and %d were placed, %d submissions that are final were cleared in up to %v; %s",
		c.ended, c.freed, c.started, c.cleared, c.clearedIn.Round(time.Millisecond), c.describeFilled())
}
