package estimate

import (
	"math"

	"github.com/cactusreel/cactusreel/platform"
)

const (
	// reportsPerTask is how many usage reports count as one independent
	// observation: reports of one attempt resemble each other.
	reportsPerTask = 8
	// declaredWeight is the evidence that the declared size counts for.
	declaredWeight = 2
	// firstMargin is the relative margin at one observation.
	firstMargin = 0.4
	// deviations of the processor use that the estimate covers. Processors are
	// shared without failures, so two suffice; memory covers the maximum.
	deviations = 2
)

// Size is the learned size of a job's tasks. The zero value knows nothing.
type Size struct {
	reports   float64
	meanCPU   float64
	squareCPU float64
	maxMemory int64
}

// Observe takes the measured use of a running attempt.
func (s *Size) Observe(used platform.Resources) {
	s.reports++
	miss := float64(used.MilliCPU) - s.meanCPU
	s.meanCPU += miss / s.reports
	s.squareCPU += miss * (float64(used.MilliCPU) - s.meanCPU)
	s.maxMemory = max(s.maxMemory, used.MemoryMiB)
}

// Need returns the amount to assign to a task that declares an amount. It is
// the declared amount without evidence. Accelerators are always as declared.
func (s *Size) Need(declared platform.Resources) platform.Resources {
	if s.reports < reportsPerTask {
		return platform.Resources{
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
	return platform.Resources{
		MilliCPU:     int64(trust*cpu + (1-trust)*float64(declared.MilliCPU)),
		MemoryMiB:    max(int64(trust*memory+(1-trust)*float64(declared.MemoryMiB)), s.maxMemory),
		Accelerators: declared.Accelerators,
	}
}
