package scheduler

import "time"

// teamRank is the sort key of a team within a tier: the share of its quota in use
// and when its oldest task became pending.
type teamRank struct {
	team  string
	share float64
	since time.Duration
}

// teamHeap is a min-heap of teams by share, then age, then name.
type teamHeap []teamRank

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less reports whether team i comes before team j.
func (h teamHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.share != b.share {
		return a.share < b.share
	}
	if a.since != b.since {
		return a.since < b.since
	}
	return a.team < b.team
}

// Swap exchanges two teams.
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a teamRank.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(teamRank)) }

// Pop removes the last teamRank.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
