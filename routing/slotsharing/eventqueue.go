package main

import "time"

// event is a function that runs at a time.
type event struct {
	at time.Duration
	// order keeps events of the same time in the order of their creation.
	order uint64
	run   func()
}

// eventQueue is a heap (container/heap) of events.
type eventQueue []event

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
