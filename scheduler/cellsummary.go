package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// CellSummary is the state of a cell that its owner publishes to other owners.
type CellSummary struct {
	Cell CellID
	// Phase is the state of the cell's data centre, PhaseAge the time since it began.
	Phase    Phase
	PhaseAge time.Duration
	// Free is the free capacity over all workers.
	Free hostapi.Resources
	// Largest is the largest free capacity of any one worker in each dimension.
	Largest  hostapi.Resources
	Capacity hostapi.Resources
	// Preemptible is what ordinary batch work uses and urgent work can preempt.
	Preemptible hostapi.Resources
	// LargestWithPreemption is the largest sum of the free and the preemptible
	// capacity of any one worker in each dimension.
	LargestWithPreemption hostapi.Resources
	// Pending is the sum of the needs of the cell's pending tasks.
	Pending hostapi.Resources
	// Replicas holds the number of running service replicas by job id.
	Replicas map[string]int
	// At is when the summary was made, on the clock of the owner that uses it.
	At time.Duration
}

// Summarize returns the summary of a cell with the given pending tasks.
func (p *Policy) Summarize(now time.Duration, s *Snapshot, pending []Task) CellSummary {
	return Summarize(now, s, pending, p.config.NearlyDone)
}

// Summarize returns the summary of a cell with the given pending tasks, whose owner protects
// attempts from the progress nearlyDone on.
func Summarize(now time.Duration, s *Snapshot, pending []Task, nearlyDone float64) CellSummary {
	summary := CellSummary{Cell: s.cell, Phase: s.dataCentre.Phase, PhaseAge: now - s.dataCentre.Since, Capacity: s.capacity, Replicas: map[string]int{}, At: now}
	for i := range s.size {
		leaf := s.root.leaf(s.size, i)
		summary.Free = summary.Free.Add(leaf.free)
		summary.Largest = maxResources(summary.Largest, leaf.free)
		preemptible := summary.addAttempts(leaf.worker, nearlyDone)
		summary.Preemptible = summary.Preemptible.Add(preemptible)
		summary.LargestWithPreemption = maxResources(summary.LargestWithPreemption, leaf.free.Add(preemptible))
	}
	for i := range pending {
		summary.Pending = summary.Pending.Add(pending[i].Requests)
	}
	return summary
}

// addAttempts counts a worker's service replicas and returns what its preemptible
// attempts use: ordinary batch attempts whose progress is below nearlyDone.
func (c *CellSummary) addAttempts(w *Worker, nearlyDone float64) hostapi.Resources {
	var preemptible hostapi.Resources
	for i := range w.Attempts {
		a := &w.Attempts[i]
		if a.Service {
			c.Replicas[a.Job]++
		}
		if !a.Service && !a.Urgent && !a.Stopping && a.Progress < nearlyDone {
			preemptible = preemptible.Add(a.Requests)
		}
	}
	if w.Unreachable || w.Leaving {
		return hostapi.Resources{}
	}
	return preemptible
}
