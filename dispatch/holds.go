package dispatch

import (
	"container/heap"

	"github.com/cactusreel/cactusreel/workload"
)

// workersToHold returns the workers to hold for the tasks of a step that fit nowhere yet: a
// worker for each task, first those that lack the least capacity. For the rest of the
// planning round they get no smaller finite work.
// Otherwise smaller requests would take each piece of capacity that becomes free, and a
// large request would wait for as long as they arrive. The next round prefers the same
// workers, because only their free capacity grows undisturbed. Requests for which there
// is no such worker are recorded in failed.
func (m *Machine) workersToHold(ws *waitingStep, workers []*worker, failed unplaceable) []*worker {
	step := &ws.entry.Steps[ws.stepIndex]
	missing := ws.state.Local() - m.occupied[ws.state]
	if missing <= 0 || failed.covers(ws) {
		return nil
	}
	held := closestToRoom(ws, step, workers, missing)
	if len(held) == 0 {
		failed.add(ws)
	}
	return held
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
	return reservation(step).Add(w.longRunning).Fits(w.Capacity)
}

// shortfall returns what a worker lacks for a task of a step, as the largest fraction of
// its capacity in any dimension.
func (w *worker) shortfall(step *workload.Step) float64 {
	over := w.reserved.Add(reservation(step)).Sub(w.Capacity)
	return max(fraction(over.MilliCPU, w.Capacity.MilliCPU), fraction(over.MemoryMiB, w.Capacity.MemoryMiB),
		fraction(over.Accelerators, w.Capacity.Accelerators))
}

func fraction(part, whole int64) float64 { return float64(part) / float64(max(whole, 1)) }
