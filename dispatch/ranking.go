package dispatch

import (
	"container/heap"

	"github.com/cactusreel/cactusreel/workload"
)

// ranked is a worker that may get a task of a step.
type ranked struct {
	worker *worker
	score  float64
	// order is the worker's place in the list; the first of equal ones is taken.
	order int
}

// ranking holds the workers that may get a task of a step, the best first. The
// tasks of a step are equal, so each worker is judged once, and again when it
// got one. It implements heap.Interface.
type ranking struct {
	entries []ranked
	// rack is the rack that a same-rack step has begun on, or "".
	rack string
	// taken is the order of the worker that was taken last.
	taken int
}

func (r *ranking) Len() int { return len(r.entries) }
func (r *ranking) Less(a, b int) bool {
	if r.entries[a].score != r.entries[b].score {
		return r.entries[a].score > r.entries[b].score
	}
	return r.entries[a].order < r.entries[b].order
}
func (r *ranking) Swap(a, b int) { r.entries[a], r.entries[b] = r.entries[b], r.entries[a] }
func (r *ranking) Push(x any)    { r.entries = append(r.entries, x.(ranked)) }
func (r *ranking) Pop() any {
	last := r.entries[len(r.entries)-1]
	r.entries = r.entries[:len(r.entries)-1]
	return last
}

// rank judges all workers for a step.
func (m *Machine) rank(c *candidate, step *workload.Step, workers []*worker) *ranking {
	r := &ranking{entries: m.rankSpace[:0], rack: m.rackOf(c, step)}
	for i, w := range workers {
		if m.fits(c, step, w) {
			r.entries = append(r.entries, ranked{worker: w, score: m.score(c, step, w, r.rack), order: i})
		}
	}
	m.rankSpace = r.entries
	heap.Init(r)
	return r
}

// rankAgain puts the worker that was taken last back, if it may get another task.
func (m *Machine) rankAgain(r *ranking, c *candidate, step *workload.Step, w *worker) {
	if m.fits(c, step, w) {
		heap.Push(r, ranked{worker: w, score: m.score(c, step, w, r.rack), order: r.taken})
	}
}

// take removes and returns the best worker, or nil. The worker to avoid loses
// avoidPenalty.
func (r *ranking) take(avoid string) *worker {
	if len(r.entries) == 0 {
		return nil
	}
	best := heap.Pop(r).(ranked)
	if avoid != "" && best.worker.ID() == avoid && len(r.entries) > 0 && r.entries[0].score > best.score-avoidPenalty {
		second := heap.Pop(r).(ranked)
		heap.Push(r, best)
		best = second
	}
	r.taken = best.order
	return best.worker
}
