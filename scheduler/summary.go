package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// CellSummary is what the owner of a cell publishes to other owners.
type CellSummary struct {
	Cell CellID
	// Phase is the state of the cell's data centre.
	Phase Phase
	// Free is the free amount over all workers.
	Free platform.Resources
	// Largest is the largest free amount of any one worker in each dimension.
	Largest  platform.Resources
	Capacity platform.Resources
	// Pending is the need of the tasks that wait in the cell.
	Pending platform.Resources
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
		for j := range leaf.worker.Attempts {
			if a := &leaf.worker.Attempts[j]; a.Service {
				sum.Replicas[a.Job]++
			}
		}
	}
	for i := range pending {
		sum.Pending = sum.Pending.Add(pending[i].Requests)
	}
	return sum
}
