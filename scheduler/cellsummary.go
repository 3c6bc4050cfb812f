package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// CellSummary is what the owner of a cell publishes to other owners.
type CellSummary struct {
	Cell CellID
	// Phase is the state of the cell's data centre.
	Phase Phase
	// Free is the free amount over all workers.
	Free hostapi.Resources
	// Largest is the largest free amount of any one worker in each dimension.
	Largest  hostapi.Resources
	Capacity hostapi.Resources
	// Preemptible is what ordinary batch work holds, which urgent work can take.
	Preemptible hostapi.Resources
	// LargestWithPreemption is the largest sum of free and yielded amounts of any one
	// worker in each dimension.
	LargestWithPreemption hostapi.Resources
	// Pending is the need of the tasks that wait in the cell.
	Pending hostapi.Resources
	// Replicas counts running service replicas by job id.
	Replicas map[string]int
	// At is when the summary was made, on the reading owner's clock.
	At time.Duration
}

// Summarize returns the summary of a cell with the given pending tasks.
func Summarize(now time.Duration, s *Snapshot, pending []Task) CellSummary {
	sum := CellSummary{Cell: s.cell, Phase: s.dataCentre.Phase, Capacity: s.capacity, Replicas: map[string]int{}, At: now}
	for i := range s.size {
		leaf := s.root.leaf(s.size, i)
		sum.Free = sum.Free.Add(leaf.free)
		sum.Largest = maxResources(sum.Largest, leaf.free)
		yields := sum.addAttempts(leaf.worker)
		sum.Preemptible = sum.Preemptible.Add(yields)
		sum.LargestWithPreemption = maxResources(sum.LargestWithPreemption, leaf.free.Add(yields))
	}
	for i := range pending {
		sum.Pending = sum.Pending.Add(pending[i].Requests)
	}
	return sum
}

// addAttempts counts a worker's replicas and returns what its ordinary batch
// attempts hold, except for those that are nearly done.
func (sum *CellSummary) addAttempts(w *Worker) hostapi.Resources {
	var yields hostapi.Resources
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.Service {
			sum.Replicas[a.Job]++
		}
		if !a.Service && !a.Urgent && !a.Stopping && a.Progress < defaultNearlyDone {
			yields = yields.Add(a.Requests)
		}
	}
	if w.Unreachable || w.Leaving {
		return hostapi.Resources{}
	}
	return yields
}
