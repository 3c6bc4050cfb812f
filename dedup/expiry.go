package dedup

// expiry is a heap (container/heap) of entries by the time they are dropped.
type expiry []*entry

// Len is part of heap.Interface.
func (h expiry) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h expiry) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap is part of heap.Interface.
func (h expiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *expiry) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is part of heap.Interface.
func (h *expiry) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
