package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/ledger"
)

// moveObstacle is why a move that makes room for a waiting task is not made now.
type moveObstacle int

// Obstacles to moves, in the order in which they are checked.
const (
	// noObstacle: the next planning round makes the move, if no other comes first.
	noObstacle moveObstacle = iota
	// taskClaims: the tasks claim room already.
	taskClaims
	// taskIsSuspect: the tasks that claim none are suspected of a crash.
	taskIsSuspect
	// taskIsNew and taskIsInterrupted: the task has not waited for its delay.
	taskIsNew
	taskIsInterrupted
	// listIsOld: the list of workers is too old to stop runs by it.
	listIsOld
	// logIsSlow: an append is unanswered, so that a stopped run could not be replaced at once.
	logIsSlow
	// enoughMoves: as many runs are being moved as may be at a time.
	enoughMoves
	// displacementFits: a worker has room for the task once finite runs are displaced or have been
	// stopped.
	displacementFits
	// victimsStay: finite runs are in the way that the task may not displace.
	victimsStay
	// searchFailed: the last search found no run to move and was too recent.
	searchFailed
	moveObstacleCount
)

// String returns the obstacle's name in logs and metrics.
func (o moveObstacle) String() string {
	return [...]string{"in turn", "claims room", "suspected of a crash", "delay of a new task", "delay of an interrupted task", "old list of workers",
		"unanswered append", "enough moves", "displacement fits", "finite runs in the way", "search that failed"}[o]
}

// moveObstacles counts waiting tasks for which a move is known, by what keeps it from being made.
type moveObstacles [moveObstacleCount]int

// counts returns the counts of the obstacles that apply to any task, by name.
func (c moveObstacles) counts() map[string]int {
	out := make(map[string]int)
	for o, n := range c {
		if n > 0 {
			out[moveObstacle(o).String()] = n
		}
	}
	return out
}

// String lists the counts.
func (c moveObstacles) String() string {
	var parts []string
	for o, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", moveObstacle(o), n))
		}
	}
	return strings.Join(parts, ", ")
}

// obstacleFor returns why none of the moves found for a waiting step is made now.
func (m *Machine) obstacleFor(p *repacking, wait *longWait, moves []runMove) moveObstacle {
	ws := &wait.waiting
	tasks := m.unclaimedTasks(ws)
	if len(tasks) == 0 {
		if len(m.waitingTasks(ws.state.Tasks)) > m.claimsOf(ws.state) {
			return taskIsSuspect
		}
		return taskClaims
	}
	due := slices.IndexFunc(tasks, func(t *ledger.Task) bool { return m.isMoveDue(ws, wait, t) })
	if due < 0 {
		if slices.ContainsFunc(tasks, func(t *ledger.Task) bool { return t.Run > 0 }) {
			return taskIsInterrupted
		}
		return taskIsNew
	}
	if o := m.obstacleToMoves(len(p.workers)); o != noObstacle {
		return o
	}
	if m.fitsAfterDisplacing(p, ws, wait.step) {
		return displacementFits
	}
	if best, _ := m.bestMove(p, ws, tasks[due], moves); best.run == nil {
		return victimsStay
	}
	if m.now < m.nextMoveAt && m.moveSearchFailed {
		return searchFailed
	}
	return noObstacle
}

// obstacleToMoves returns why no run is moved now for any task, with a number of usable workers.
func (m *Machine) obstacleToMoves(workers int) moveObstacle {
	moving := 0
	for _, c := range m.claims {
		if c.moved != nil {
			moving++
		}
	}
	switch {
	case !m.listFresh():
		return listIsOld
	case m.appendUnanswered(moveAppendTimeout):
		return logIsSlow
	case moving >= max(1, workers/movingShare):
		return enoughMoves
	}
	return noObstacle
}
