package dispatch

import (
	"github.com/cactusreel/cactusreel/workload"
)

// Weights of the placement score. One unit is the whole of a worker's
// processors left unused.
const (
	// avoidPenalty moves the next attempt of a failed task to another worker
	// whenever another one has room.
	avoidPenalty = 4.0
	// remotePenalty is the loss of running away from the data or the step's
	// rack, for each time that the run takes longer.
	remotePenalty = 1.0
	// disturbPenalty keeps best-effort work away from long-running tasks with
	// a latency target, and those away from it.
	disturbPenalty = 0.5
	// slowPenalty is the loss for each time that a worker is slower than estimated.
	slowPenalty = 0.5
	// bestEffortFloor is the least share of its processors that a best-effort
	// task should find unused.
	bestEffortFloor = 0.5
)

// fits tells whether a worker may get a task of a step now.
func (m *Machine) fits(c *candidate, step *workload.Step, w *worker) bool {
	if w.Service != c.entry.Policy.Service || !w.Has(step.Label) {
		return false
	}
	request := step.Request
	if step.BestEffort {
		request.MilliCPU = 0
	}
	if !w.reserved.Add(request).Fits(w.Capacity) {
		return false
	}
	if step.BestEffort && float64(w.unused()) < bestEffortFloor*float64(step.Request.MilliCPU) {
		return false
	}
	return step.MaxPerWorker == 0 || w.countStep(c) < step.MaxPerWorker
}

// unused returns the processors that neither reservations nor best-effort runs use.
func (w *worker) unused() int64 {
	return w.Capacity.MilliCPU - w.reserved.MilliCPU - w.bestEffort
}

// countStep counts the runs of a step's occurrence on a worker.
func (w *worker) countStep(c *candidate) int {
	n := 0
	for _, r := range w.runs {
		task := r.id.Task
		if task.Submission == c.entry.ID && task.Step == c.step && task.Occurrence == c.occurrence {
			n++
		}
	}
	return n
}

// score is higher for a better worker.
func (m *Machine) score(step *workload.Step, w *worker, rack string) float64 {
	capacity := max(float64(w.Capacity.MilliCPU), 1)
	score := float64(w.unused()-step.Request.MilliCPU) / capacity
	if step.DataRack != "" && step.DataRack != w.Rack {
		score -= remotePenalty * (m.config.RemoteFactor - 1)
	}
	if rack != "" && rack != w.Rack {
		score -= remotePenalty * (m.config.RemoteFactor - 1)
	}
	if w.record.speed > 1 {
		score -= slowPenalty * (w.record.speed - 1)
	}
	switch {
	case step.BestEffort && w.serves():
		score -= disturbPenalty
	case step.LatencyTarget > 0:
		score -= disturbPenalty * float64(w.bestEffort) / capacity
	}
	return score
}

// serves tells whether a worker runs a task with a latency target.
func (w *worker) serves() bool {
	for _, r := range w.runs {
		if r.step.LatencyTarget > 0 {
			return true
		}
	}
	return false
}
