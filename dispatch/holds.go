package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Bounds of holds. A worker that is held has idle capacity, so other work must not wait for
// its end: the share leaves workers to it, and the time ends holds that lead to nothing.
const (
	// heldShare is the part of the workers suitable for a step that may be held in a planning
	// round, as a divisor.
	heldShare = 2
	// minHoldTime is how long a step holds workers at first without a placement. It doubles
	// with each hold, up to maxHoldTime: the runs that occupy the workers may last longer.
	minHoldTime = 4 * time.Second
	maxHoldTime = 16 * time.Second
	// holdPauseShare is the pause after a hold as a part of its duration, as a divisor.
	holdPauseShare = 2
)

// hold is the time for which a step has held workers since its last placement.
type hold struct {
	// duration is that of the current hold, which ends at until.
	duration, until time.Duration
	// pausedUntil is when the next hold may begin.
	pausedUntil time.Duration
}

// heldWorkers are the workers that a planning round holds.
type heldWorkers struct {
	usable []*worker
	held   []*worker
	// suitable counts the usable workers for each combination of constraints.
	suitable map[constraints]int
}

func newHeldWorkers(usable []*worker) *heldWorkers {
	return &heldWorkers{usable: usable, suitable: make(map[constraints]int)}
}

// room returns how many more workers may be held for a step.
func (h *heldWorkers) room(ws *waitingStep, step *workload.Step) int {
	key := constraintsOf(ws, step)
	count := func(workers []*worker) int {
		n := 0
		for _, w := range workers {
			if w.Service == key.service && w.HasLabel(key.label) {
				n++
			}
		}
		return n
	}
	if _, counted := h.suitable[key]; !counted {
		h.suitable[key] = count(h.usable)
	}
	return max(1, h.suitable[key]/heldShare) - count(h.held)
}

// workersToHold returns the workers to hold for the tasks of a step that fit nowhere yet: a
// worker for each task, first those that lack the least capacity, or for a gang the fewest
// that can take it as a whole. For the rest of the planning round they get no smaller finite
// work.
// Otherwise smaller requests would take each piece of capacity that becomes free, and a
// large request would wait for as long as they arrive. The next round prefers the same
// workers, because only their free capacity grows undisturbed. A step that holds none, also
// because its hold is paused, is recorded in failed: no larger request of its kind holds any
// in this round, so that several steps don't take turns in holding the same workers.
func (m *Machine) workersToHold(round *heldWorkers, ws *waitingStep, workers []*worker, failed unplaceable) []*worker {
	missing := m.missing(ws)
	if missing <= 0 || failed.covers(ws) {
		return nil
	}
	held := m.hold(round, ws, m.workersThatLeaveRoom(ws, workers), missing)
	if len(held) == 0 {
		failed.add(ws)
	}
	return held
}

// missing returns the number of tasks of a step that wait for a place and claim none, as far as the cap of
// their tenant goes.
func (m *Machine) missing(ws *waitingStep) int {
	if ws.leaving != nil {
		return len(ws.leaving)
	}
	missing := m.missingBeforeCap(ws)
	if step := &ws.entry.Steps[ws.stepIndex]; !step.Gang && missing > 0 {
		missing = min(missing, m.tasksInTurn(ws))
	}
	return missing
}

// missingBeforeCap returns the same whatever the cap of their tenant.
func (m *Machine) missingBeforeCap(ws *waitingStep) int {
	return ws.state.Local() - m.occupied[ws.state] - m.claimsOf(ws.state)
}

// hold holds workers for a number of tasks of a step, as far as the bounds of holds allow.
func (m *Machine) hold(round *heldWorkers, ws *waitingStep, workers []*worker, missing int) []*worker {
	step, room := &ws.entry.Steps[ws.stepIndex], round.room(ws, &ws.entry.Steps[ws.stepIndex])
	var held []*worker
	if step.Gang {
		held = fewestForGang(ws, step, workers, missing, room)
	} else {
		held = closestToRoom(ws, step, workers, min(missing, room))
	}
	if len(held) == 0 || !m.mayHold(ws.state) {
		return nil
	}
	round.held = append(round.held, held...)
	return held
}

// mayHold reports whether a step may hold workers now, and begins a hold if none lasts.
func (m *Machine) mayHold(state *ledger.Step) bool {
	if h := m.holds[state]; h != nil {
		return h.lasts(m.now, true)
	}
	h := newHold(m.now)
	m.holds[state] = &h
	return true
}

func newHold(now time.Duration) hold { return hold{duration: minHoldTime, until: now + minHoldTime} }

// lasts reports whether a hold lasts. It begins the pause after one that has ended and, if mayBegin, the next
// hold after the pause.
func (h *hold) lasts(now time.Duration, mayBegin bool) bool {
	switch {
	case now < h.until:
	case h.pausedUntil < h.until:
		h.pausedUntil = now + h.duration/holdPauseShare
		return false
	case now < h.pausedUntil, !mayBegin:
		return false
	default:
		h.duration = min(2*h.duration, maxHoldTime)
		h.until = now + h.duration
	}
	return true
}

// forgetHolds forgets the holds of steps that don't wait any more.
func (m *Machine) forgetHolds(waiting []*waitingStep) {
	if len(m.holds) == 0 {
		return
	}
	waits := make(map[*ledger.Step]bool, len(waiting))
	for _, ws := range waiting {
		waits[ws.state] = true
	}
	maps.DeleteFunc(m.holds, func(state *ledger.Step, _ *hold) bool { return !waits[state] })
}

// fewestForGang returns the fewest workers, at most limit, that can take a number of tasks of
// a gang together once the runs that end by themselves have ended. If the gang doesn't fit as
// a whole, no worker is of use to it.
func fewestForGang(ws *waitingStep, step *workload.Step, workers []*worker, tasks, limit int) []*worker {
	type candidate struct {
		shortfall
		tasks int
	}
	var candidates []candidate
	for i, w := range workers {
		if n := w.tasksInTime(ws, step, tasks); n > 0 {
			candidates = append(candidates, candidate{shortfall{worker: w, share: w.shortfall(step), index: i}, n})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.share, b.share), cmp.Compare(a.index, b.index))
	})
	var out []*worker
	for _, c := range candidates[:max(0, min(limit, len(candidates)))] {
		out = append(out, c.worker)
		if tasks -= c.tasks; tasks <= 0 {
			return out
		}
	}
	return nil
}

// tasksInTime returns how many tasks of a step, at most limit, a worker can take together
// once the runs that end by themselves have ended.
func (w *worker) tasksInTime(ws *waitingStep, step *workload.Step, limit int) int {
	if !suits(ws, step, w) {
		return 0
	}
	if step.MaxPerWorker > 0 {
		limit = min(limit, step.MaxPerWorker-w.countRuns(ws))
	}
	free, request, n := w.freeInTime(), reservation(step), 0
	for n < limit && request.Fits(free) {
		free = free.Sub(request)
		n++
	}
	return n
}

// closestToRoom returns up to n of the workers that could take a task of a step once the
// runs that end by themselves have ended: those that lack the least capacity. A round looks
// for them for each long-running step that waits, hundreds of them after the loss of a data
// centre, so the workers are not sorted.
func closestToRoom(ws *waitingStep, step *workload.Step, workers []*worker, n int) []*worker {
	var closest shortfalls
	if n <= 0 {
		return nil
	}
	for i, w := range workers {
		if !w.hasRoomInTime(step) || !suits(ws, step, w) {
			continue
		}
		c := shortfall{worker: w, share: w.shortfall(step), index: i}
		switch {
		case len(closest) < n:
			heap.Push(&closest, c)
		case closest[0].exceeds(c):
			closest[0] = c
			heap.Fix(&closest, 0)
		}
	}
	out := make([]*worker, len(closest))
	for i := range closest {
		out[i] = closest[i].worker
	}
	return out
}

// without returns the workers without those that are held.
func without(workers, held []*worker) []*worker {
	if len(held) == 0 {
		return workers
	}
	for _, w := range held {
		w.held = true
	}
	left := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if !w.held {
			left = append(left, w)
		}
	}
	for _, w := range held {
		w.held = false
	}
	return left
}

// hasRoomInTime reports whether a worker has the capacity for a task of a step once the
// runs that end by themselves have ended.
func (w *worker) hasRoomInTime(step *workload.Step) bool {
	return reservation(step).Add(w.longRunning).Add(w.claimed).Fits(w.Capacity)
}

// shortfall returns what a worker lacks for a task of a step, as the largest fraction of
// its capacity in any dimension.
func (w *worker) shortfall(step *workload.Step) float64 {
	over := w.reserved.Add(w.claimed).Add(reservation(step)).Sub(w.Capacity)
	return max(fraction(over.MilliCPU, w.Capacity.MilliCPU), fraction(over.MemoryMiB, w.Capacity.MemoryMiB),
		fraction(over.Accelerators, w.Capacity.Accelerators))
}

func fraction(part, whole int64) float64 { return float64(part) / float64(max(whole, 1)) }
