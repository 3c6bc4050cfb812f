package dispatchtest

import (
	"container/heap"
	"time"
)

// Timer is an action at a virtual time.
type Timer struct {
	At     time.Duration
	Action func()
	// serial orders timers of the same time as they were added.
	serial int
}

// Timers are the timers that are to come.
type Timers struct {
	heap   timerHeap
	serial int
}

// Add adds an action at a time.
func (t *Timers) Add(at time.Duration, action func()) {
	t.serial++
	heap.Push(&t.heap, Timer{At: at, Action: action, serial: t.serial})
}

// Next removes the next timer, if it is due by a time, and reports whether it is.
func (t *Timers) Next(until time.Duration) (Timer, bool) {
	if len(t.heap) == 0 || t.heap[0].At > until {
		return Timer{}, false
	}
	return heap.Pop(&t.heap).(Timer), true
}

// timerHeap is a heap of timers for package heap, the next one first.
type timerHeap []Timer

func (e timerHeap) Len() int { return len(e) }

func (e timerHeap) Less(a, b int) bool {
	return e[a].At < e[b].At || e[a].At == e[b].At && e[a].serial < e[b].serial
}

func (e timerHeap) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *timerHeap) Push(x any) { *e = append(*e, x.(Timer)) }

func (e *timerHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
