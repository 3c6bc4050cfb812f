package dedup

// expiryHeap is a heap (container/heap) of entries by the time they are dropped.
type expiryHeap []*entry

// Len is part of heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap is part of heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = -1
	return e
}
