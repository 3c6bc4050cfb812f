package dispatch

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
)

// maxMovesCompared limits the possible moves for a task that are compared.
const maxMovesCompared = 8

// runMove is a long-running run with another worker that has room for it.
type runMove struct {
	run *run
	to  *worker
	// free: both workers have the room without the end of a finite run.
	free bool
	// unused is the CPU, in thousandths of a core, that the task for which the run is moved leaves
	// unused.
	unused int64
}

// moveSearch looks for long-running runs whose move to another worker makes room for a task, if the
// finite runs on both are stopped. The free room of many workers together may be large although no
// task fits any of them.
type moveSearch struct {
	machine *Machine
	// sources are the workers with runs that can be moved. Workers on which tasks claim room are
	// neither sources nor targets.
	sources []moveSource
	// targets are the workers in ascending order of the free CPU, targetsInTime in that of the CPU
	// that is free once their finite runs have ended.
	targets, targetsInTime []*worker
	// away counts the tasks of each step that are not at work.
	away   map[*ledger.Step]int
	failed unplaceable
}

// moveSource is a worker with its runs that can be moved. mostCPU is the most CPU, in thousandths of
// a core, that is free there after one is and the finite runs have ended.
type moveSource struct {
	worker  *worker
	moves   []runMove
	mostCPU int64
}

func (m *Machine) newMoveSearch(workers []*worker) *moveSearch {
	s := &moveSearch{machine: m, away: make(map[*ledger.Step]int), failed: make(unplaceable)}
	unclaimed := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return w.claimed != (hostapi.Resources{}) })
	s.targets, s.targetsInTime = sortByCPU(unclaimed, (*worker).free), sortByCPU(unclaimed, (*worker).freeInTime)
	for _, w := range unclaimed {
		source := moveSource{worker: w}
		for _, r := range w.runList {
			// Most runs fit no other worker; that is the cheaper check.
			if to := s.target(r); to != nil && s.canMove(r) {
				source.moves = append(source.moves, runMove{run: r, to: to})
				source.mostCPU = max(source.mostCPU, w.freeInTime().MilliCPU+reservation(r.step).MilliCPU)
			}
		}
		if len(source.moves) > 0 {
			s.sources = append(s.sources, source)
		}
	}
	return s
}

// find returns the moves that make room for a task of a step: those first that need no end of a finite
// run, then those that leave the least CPU unused on the worker.
func (s *moveSearch) find(ws *waitingStep) []runMove {
	step := &ws.entry.Steps[ws.stepIndex]
	if step.Gang || step.BestEffort || s.failed.covers(ws) {
		return nil
	}
	request := reservation(step)
	var moves []runMove
	for _, source := range s.sources {
		w := source.worker
		// Since the search began, tasks that come first may have claimed room.
		if source.mostCPU < request.MilliCPU || w.claimed != (hostapi.Resources{}) || !suits(ws, step, w) {
			continue
		}
		free := w.freeInTime()
		for _, move := range source.moves {
			if move.run.entry.Policy.Priority < ws.priority || move.to.claimed != (hostapi.Resources{}) {
				continue
			}
			if after := free.Add(reservation(move.run.step)); request.Fits(after) {
				move.free = request.Fits(w.free().Add(reservation(move.run.step))) && move.run.fitsFree(move.to)
				move.unused = after.MilliCPU - request.MilliCPU
				moves = append(moves, move)
			}
		}
	}
	if len(moves) == 0 {
		s.failed.add(ws)
	}
	slices.SortStableFunc(moves, func(a, b runMove) int {
		switch {
		case a.free && !b.free:
			return -1
		case b.free && !a.free:
			return 1
		}
		return cmp.Compare(a.unused, b.unused)
	})
	return moves
}

// canMove reports whether a run may be stopped to be started elsewhere: it is at work, the data
// and the other tasks of its step don't tie it to a rack, not more tasks of its step than allowed
// would be unavailable, and its task may be started again.
func (s *moveSearch) canMove(r *run) bool {
	step := r.step
	if s.machine.displacements[r.id.Task].count >= maxDisplacements || r.isolated || r.place != nil {
		return false
	}
	if s.machine.aboveCap(r.entry) || !r.isMovable() || !s.machine.atWork(r) || step.Gang || step.BestEffort || step.SameRack || step.DataRack != "" || r.entry.State().Final() || s.machine.unconfirmed(r.entry) {
		return false
	}
	state := &r.entry.Occurrence(r.id.Task.Occurrence).Steps[r.id.Task.Step]
	away, known := s.away[state]
	if !known {
		away = s.machine.awayTasks(state)
		s.away[state] = away
	}
	return step.MaxUnavailable == 0 || away < step.MaxUnavailable
}

// hasNoneFor reports whether the search has found no move for the same request.
func (s *moveSearch) hasNoneFor(ws *waitingStep) bool { return s != nil && s.failed.covers(ws) }

// canStillMove reports whether a run that was found may be moved: since the search began, other
// runs of its step may have been stopped.
func (s *moveSearch) canStillMove(r *run) bool {
	clear(s.away)
	return s.canMove(r)
}

// target returns a worker with room for a run of another one, or nil if there is none. One without
// finite runs in the way comes first: those of a higher priority can't be stopped.
func (s *moveSearch) target(r *run) *worker {
	if !r.step.LongRunning {
		return nil
	}
	if w := tightest(r, s.targets, (*worker).free); w != nil {
		return w
	}
	return tightest(r, s.targetsInTime, (*worker).freeInTime)
}

// sortByCPU returns the workers in ascending order of the CPU of their room.
func sortByCPU(workers []*worker, room func(*worker) hostapi.Resources) []*worker {
	return slices.SortedStableFunc(slices.Values(workers), func(a, b *worker) int {
		return cmp.Compare(room(a).MilliCPU, room(b).MilliCPU)
	})
}

// tightest returns the first worker with room for a run of another one, or nil if there is none. The
// workers are in ascending order of the CPU of their room.
func tightest(r *run, workers []*worker, room func(*worker) hostapi.Resources) *worker {
	request := reservation(r.step)
	if len(workers) == 0 || request.MilliCPU > room(workers[len(workers)-1]).MilliCPU {
		return nil
	}
	ws := waitingStep{entry: r.entry, occurrence: r.id.Task.Occurrence, stepIndex: r.id.Task.Step}
	first, _ := slices.BinarySearchFunc(workers, request.MilliCPU, func(w *worker, cpu int64) int {
		return cmp.Compare(room(w).MilliCPU, cpu)
	})
	for _, w := range workers[first:] {
		if w != r.worker && request.Fits(room(w)) && suits(&ws, r.step, w) {
			return w
		}
	}
	return nil
}

// fitsFree reports whether a worker has the room for a run now.
func (r *run) fitsFree(w *worker) bool { return reservation(r.step).Fits(w.free()) }

// atWork reports whether a long-running run is in service. One that a previous owner may have
// stopped just before it lost the cell is listed as active until the stop has been carried out.
func (m *Machine) atWork(r *run) bool {
	return r.phase == running && !r.stopRequested && r.progressPercent >= 100 && !r.worker.silent &&
		m.now-r.startedAt > m.config.StopTime+stopMargin
}

// awayTasks counts the tasks of a step that are not at work.
func (m *Machine) awayTasks(state *ledger.Step) int {
	away := 0
	for i := range state.Tasks {
		t := &state.Tasks[i]
		if r := m.active[t.ID]; !t.Done && (r == nil || !m.atWork(r)) {
			away++
		}
	}
	return away
}
