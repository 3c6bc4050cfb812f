package dispatch

// shortfall is what a worker lacks for a task, as a fraction of its capacity. index is the
// worker's position in the list of workers; it breaks ties.
type shortfall struct {
	worker *worker
	share  float64
	index  int
}

// exceeds reports whether a worker lacks more than another.
func (s shortfall) exceeds(other shortfall) bool {
	if s.share != other.share {
		return s.share > other.share
	}
	return s.index > other.index
}

// shortfalls is a heap (container/heap) with the greatest shortfall first.
type shortfalls []shortfall

func (s shortfalls) Len() int           { return len(s) }
func (s shortfalls) Less(a, b int) bool { return s[a].exceeds(s[b]) }
func (s shortfalls) Swap(a, b int)      { s[a], s[b] = s[b], s[a] }

// Push is part of heap.Interface.
func (s *shortfalls) Push(x any) { *s = append(*s, x.(shortfall)) }

// Pop is part of heap.Interface.
func (s *shortfalls) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
