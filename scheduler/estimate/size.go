package estimate

import (
	"math"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// reportsPerTask is how many usage reports count as one independent
	// observation: the reports of one attempt are correlated.
	reportsPerTask = 8
	// declaredWeight is the number of observations that the declared value counts
	// for.
	declaredWeight = 2
	// baseMargin is the relative margin after one observation.
	baseMargin = 0.15
	// cpuDeviations is the number of standard deviations of processor usage that
	// the estimate covers. A shortage of processors fails no task, so one
	// suffices; the memory estimate covers the maximum.
	cpuDeviations = 1
	// outOfMemoryShare is the share of its assigned memory from which a failed
	// attempt is taken to have run out of memory. Usage reports lag, so the last
	// one is below the actual usage.
	outOfMemoryShare = 0.8
	// memoryGrowth is the factor by which the memory need grows after that.
	memoryGrowth = 1.5
)

// Size is the learned resource need of a job's tasks. The zero value has no
// observations.
type Size struct {
	reports              float64
	meanCPU              float64
	squaredDeviationsCPU float64
	maxMemory            int64
}

// ObserveMemory takes the measured usage of an attempt of any age. Its memory is a
// lower bound of the need.
func (s *Size) ObserveMemory(used hostapi.Resources) {
	s.maxMemory = max(s.maxMemory, used.MemoryMiB)
}

// Observe takes the measured usage of an attempt that has reached its full memory
// usage.
func (s *Size) Observe(used hostapi.Resources) {
	s.reports++
	delta := float64(used.MilliCPU) - s.meanCPU
	s.meanCPU += delta / s.reports
	s.squaredDeviationsCPU += delta * (float64(used.MilliCPU) - s.meanCPU)
	s.ObserveMemory(used)
}

// Need returns the resources to assign to a task from its declared need. Below
// reportsPerTask reports it is the declared need, but at least the memory measured
// so far. Accelerators are always as declared.
func (s *Size) Need(declared hostapi.Resources) hostapi.Resources {
	if s.reports < reportsPerTask {
		return hostapi.Resources{
			MilliCPU:     declared.MilliCPU,
			MemoryMiB:    max(declared.MemoryMiB, s.maxMemory),
			Accelerators: declared.Accelerators,
		}
	}
	observations := s.reports / reportsPerTask
	margin := 1 + baseMargin/math.Sqrt(observations)
	cpu := (s.meanCPU + cpuDeviations*math.Sqrt(s.squaredDeviationsCPU/s.reports)) * margin
	memory := float64(s.maxMemory) * margin
	learnedWeight := observations / (observations + declaredWeight)
	return hostapi.Resources{
		MilliCPU:     int64(learnedWeight*cpu + (1-learnedWeight)*float64(declared.MilliCPU)),
		MemoryMiB:    max(int64(learnedWeight*memory+(1-learnedWeight)*float64(declared.MemoryMiB)), s.maxMemory),
		Accelerators: declared.Accelerators,
	}
}

// ObserveFailure takes the assigned resources and the last measured usage of a
// failed attempt. It reports whether the attempt probably ran out of memory, and
// then raises the memory need.
func (s *Size) ObserveFailure(assigned, used hostapi.Resources) bool {
	if used.MemoryMiB == 0 || float64(used.MemoryMiB) < outOfMemoryShare*float64(assigned.MemoryMiB) {
		return false
	}
	s.maxMemory = max(s.maxMemory, int64(memoryGrowth*float64(assigned.MemoryMiB)))
	return true
}
