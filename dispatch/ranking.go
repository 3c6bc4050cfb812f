package dispatch

import (
	"container/heap"

	"github.com/cactusreel/cactusreel/workload"
)

// rankedWorker is a worker that can take a task of a step.
type rankedWorker struct {
	worker *worker
	score  float64
	// index is the worker's position in the list of workers; it breaks ties.
	index int
}

// ranking is a heap of the workers that can take a task of a step, the best first.
// The tasks of a step are identical, so each worker is scored once, and again
// after a task was placed on it. It implements heap.Interface.
type ranking struct {
	entries []rankedWorker
	// rack is the rack on which a same-rack step already has a run, or "".
	rack string
	// takenIndex is the index of the worker that was taken last.
	takenIndex int
}

func (r *ranking) Len() int { return len(r.entries) }
func (r *ranking) Less(a, b int) bool {
	if r.entries[a].score != r.entries[b].score {
		return r.entries[a].score > r.entries[b].score
	}
	return r.entries[a].index < r.entries[b].index
}
func (r *ranking) Swap(a, b int) { r.entries[a], r.entries[b] = r.entries[b], r.entries[a] }
func (r *ranking) Push(x any)    { r.entries = append(r.entries, x.(rankedWorker)) }
func (r *ranking) Pop() any {
	last := r.entries[len(r.entries)-1]
	r.entries = r.entries[:len(r.entries)-1]
	return last
}

func (m *Machine) rankWorkers(ws *waitingStep, step *workload.Step, workers []*worker) *ranking {
	r := &ranking{entries: m.rankBuffer[:0], rack: m.assignedRack(ws, step)}
	for i, w := range workers {
		if m.fits(ws, step, w) {
			r.entries = append(r.entries, rankedWorker{worker: w, score: m.score(ws, step, w, r.rack), index: i})
		}
	}
	m.rankBuffer = r.entries
	heap.Init(r)
	return r
}

// reinsert puts the worker that was taken last back if it can take another task.
func (m *Machine) reinsert(r *ranking, ws *waitingStep, step *workload.Step, w *worker) {
	if m.fits(ws, step, w) {
		heap.Push(r, rankedWorker{worker: w, score: m.score(ws, step, w, r.rack), index: r.takenIndex})
	}
}

// take removes and returns the best worker, or nil if there is none. The score of
// the worker to avoid is reduced by avoidPenalty.
func (r *ranking) take(avoid string) *worker {
	if len(r.entries) == 0 {
		return nil
	}
	best := heap.Pop(r).(rankedWorker)
	if avoid != "" && best.worker.ID() == avoid && len(r.entries) > 0 && r.entries[0].score > best.score-avoidPenalty {
		second := heap.Pop(r).(rankedWorker)
		heap.Push(r, best)
		best = second
	}
	r.takenIndex = best.index
	return best.worker
}
