package dispatchtest

import "time"

// Timer is an action at a virtual time. Of two timers at the same time, the one with
// the lower serial comes first.
type Timer struct {
	At     time.Duration
	Serial int
	Action func()
}

// Timers is a heap of timers for package heap, the next one first.
type Timers []Timer

// Len implements heap.Interface.
func (e Timers) Len() int { return len(e) }

// Less implements heap.Interface.
func (e Timers) Less(a, b int) bool {
	return e[a].At < e[b].At || e[a].At == e[b].At && e[a].Serial < e[b].Serial
}

// Swap implements heap.Interface.
func (e Timers) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *Timers) Push(x any) { *e = append(*e, x.(Timer)) }

// Pop implements heap.Interface.
func (e *Timers) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
