package dispatch

import (
	"fmt"

	"github.com/cactusreel/cactusreel/workload"
)

// refusal is the reason for which a worker is not given a best-effort task although it has
// room for it.
type refusal int

// Reasons, in the order in which they are checked.
const (
	colocatable refusal = iota
	// noUnusedCPU: too little CPU is expected to be unused.
	noUnusedCPU
	// taskOverTarget: a task there is over its latency target.
	taskOverTarget
	// uncertainAttribution: a missed target could not be attributed to one of the images.
	uncertainAttribution
	// targetAtRisk: a task there is expected to exceed its latency target.
	targetAtRisk
	// knownInterference: the image is known to interfere with a task there.
	knownInterference
)

// refusalCounts counts workers by the reason.
type refusalCounts [knownInterference + 1]int

// String returns the counts in words.
func (c refusalCounts) String() string {
	return fmt.Sprintf("%d without unused CPU, %d with a task over its target, %d with uncertain attribution, %d expected to exceed a target, %d with known interference",
		c[noUnusedCPU], c[taskOverTarget], c[uncertainAttribution], c[targetAtRisk], c[knownInterference])
}

// colocationRefusal returns the first reason against a best-effort task on a worker.
func (m *Machine) colocationRefusal(image imageID, step *workload.Step, w *worker) refusal {
	if w.unusedCPU() < minUnusedShare*float64(step.Request.MilliCPU) {
		return noUnusedCPU
	}
	for _, s := range w.latencyRuns {
		switch {
		case s.overTargetSince > 0:
			return taskOverTarget
		case m.confounds(w, s, image):
			return uncertainAttribution
		}
	}
	if len(w.latencyRuns) > 0 && m.headroom(w, image, w.cpuShare(step)) < 0 {
		return targetAtRisk
	}
	if !step.Gang && m.knownToInterfere(w, image, w.cpuShare(step)) {
		return knownInterference
	}
	return colocatable
}
