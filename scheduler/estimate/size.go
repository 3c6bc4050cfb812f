package estimate

import (
	"math"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// reportsPerTask is how many usage reports count as one independent
	// observation: reports of one attempt resemble each other.
	reportsPerTask = 8
	// declaredWeight is the evidence that the declared size counts for.
	declaredWeight = 2
	// firstMargin is the relative margin at one observation.
	firstMargin = 0.15
	// deviations of the processor use that the estimate covers. Processors are
	// shared without failures, so one suffices; memory covers the maximum.
	deviations = 1
	// full is the share of its assigned memory from which a failed attempt is
	// taken to have run out of it. Reports lag, so the last one is lower.
	full = 0.8
	// growth is by how much the memory grows after that.
	growth = 1.5
)

// Size is the learned size of a job's tasks. The zero value knows nothing.
type Size struct {
	reports   float64
	meanCPU   float64
	squareCPU float64
	maxMemory int64
}

// Grow takes the measured use of an attempt of any age. Its memory counts as a
// lower bound.
func (s *Size) Grow(used hostapi.Resources) {
	s.maxMemory = max(s.maxMemory, used.MemoryMiB)
}

// Observe takes the measured use of an attempt that has reached its full size.
func (s *Size) Observe(used hostapi.Resources) {
	s.reports++
	miss := float64(used.MilliCPU) - s.meanCPU
	s.meanCPU += miss / s.reports
	s.squareCPU += miss * (float64(used.MilliCPU) - s.meanCPU)
	s.Grow(used)
}

// Need returns the amount to assign to a task that declares an amount. It is
// the declared amount without evidence. Accelerators are always as declared.
func (s *Size) Need(declared hostapi.Resources) hostapi.Resources {
	if s.reports < reportsPerTask {
		return hostapi.Resources{
			MilliCPU:     declared.MilliCPU,
			MemoryMiB:    max(declared.MemoryMiB, s.maxMemory),
			Accelerators: declared.Accelerators,
		}
	}
	evidence := s.reports / reportsPerTask
	margin := 1 + firstMargin/math.Sqrt(evidence)
	cpu := (s.meanCPU + deviations*math.Sqrt(s.squareCPU/s.reports)) * margin
	memory := float64(s.maxMemory) * margin
	trust := evidence / (evidence + declaredWeight)
	return hostapi.Resources{
		MilliCPU:     int64(trust*cpu + (1-trust)*float64(declared.MilliCPU)),
		MemoryMiB:    max(int64(trust*memory+(1-trust)*float64(declared.MemoryMiB)), s.maxMemory),
		Accelerators: declared.Accelerators,
	}
}

// Outgrew takes the failure of an attempt that was assigned an amount and last
// measured to use another. It reports whether the attempt probably ran out of
// memory; the need then grows.
func (s *Size) Outgrew(assigned, used hostapi.Resources) bool {
	if used.MemoryMiB == 0 || float64(used.MemoryMiB) < full*float64(assigned.MemoryMiB) {
		return false
	}
	s.maxMemory = max(s.maxMemory, int64(growth*float64(assigned.MemoryMiB)))
	return true
}
