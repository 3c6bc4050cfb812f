// Package preemption selects the runs that are stopped for work that must not wait.
package preemption

import (
	"slices"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Candidate is a run that may be stopped.
type Candidate struct {
	// Frees is the capacity that its end frees.
	Frees hostapi.Resources
	// Cost is what stopping it loses.
	Cost float64
}

// Select returns the indexes of a cheap set of candidates of one worker whose end, together
// with the free capacity, makes a request fit, and what stopping them costs. The candidates
// are given in ascending order of cost. It selects greedily by cost and then drops those
// that turn out not to be needed, the costliest first. ok is false if all of them together
// don't suffice.
func Select(free, request hostapi.Resources, candidates []Candidate) (selected []int, cost float64, ok bool) {
	taken := 0
	for taken < len(candidates) && !request.Fits(free) {
		free = free.Add(candidates[taken].Frees)
		taken++
	}
	if !request.Fits(free) {
		return nil, 0, false
	}
	for i, c := range slices.Backward(candidates[:taken]) {
		if without := free.Sub(c.Frees); request.Fits(without) {
			free = without
			continue
		}
		selected = append(selected, i)
		cost += c.Cost
	}
	return selected, cost, true
}
