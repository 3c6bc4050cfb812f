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
	// headroomWeight is the worth of all headroom under the latency targets.
	headroomWeight = 0.5
	// companyWeight is the worth of a worker with only the same image.
	companyWeight = 1.0
	// slowPenalty is the loss for each time that a worker is slower than estimated.
	slowPenalty = 0.5
	// bestEffortFloor is the least share of its processors that a best-effort
	// task should find unused.
	bestEffortFloor = 0.5
)

// fits tells whether a worker may get a task of a step now.
func (m *Machine) fits(c *candidate, step *workload.Step, w *worker) bool {
	if w.Service != c.entry.Policy.Service || !w.HasLabel(step.Label) {
		return false
	}
	request := step.Request
	if step.BestEffort {
		request.MilliCPU = 0
	}
	if !w.reserved.Add(request).Fits(w.Capacity) {
		return false
	}
	if step.BestEffort && !m.fitsBeside(c, step, w) {
		return false
	}
	return step.MaxPerWorker == 0 || w.countStep(c) < step.MaxPerWorker
}

// fitsBeside tells whether a best-effort task finds processors on a worker and
// leaves the latency targets of the tasks there alone.
func (m *Machine) fitsBeside(c *candidate, step *workload.Step, w *worker) bool {
	if w.unused() < bestEffortFloor*float64(step.Request.MilliCPU) {
		return false
	}
	return len(w.serving) == 0 || m.headroom(w, c.image, w.shareOf(step)) >= 0
}

// shareOf returns the part of a worker's processors that a task asks for.
func (w *worker) shareOf(step *workload.Step) float64 {
	return float64(step.Request.MilliCPU) / max(float64(w.Capacity.MilliCPU), 1)
}

// unused returns the processors that are expected to be free.
func (w *worker) unused() float64 {
	used := float64(w.reserved.MilliCPU+w.bestEffort) - (1-servingUse)*float64(w.servingCPU)
	return float64(w.Capacity.MilliCPU) - used
}

// crowded tells that more runs of a step's occurrence are recorded on a worker
// than may be there: an earlier owner gave some of them up.
func (r *run) crowded() bool {
	limit := r.step.MaxPerWorker
	task := r.id.Task
	return limit > 0 && r.on.countStep(&candidate{entry: r.entry, occurrence: task.Occurrence, step: task.Step}) > limit
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
func (m *Machine) score(c *candidate, step *workload.Step, w *worker, rack string) float64 {
	score := (w.unused() - float64(step.Request.MilliCPU)) / max(float64(w.Capacity.MilliCPU), 1)
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
	case step.BestEffort && len(w.serving) > 0:
		score += headroomWeight * m.headroom(w, c.image, w.shareOf(step))
	case step.BestEffort:
		score += headroomWeight
	case step.LatencyTarget > 0:
		score += m.companyScore(c.image, w)
	}
	return score
}

// companyScore prefers workers whose long-running tasks have the same image:
// what disturbs an image then has the workers of all others for itself. It
// avoids workers whose best-effort runs disturb the image.
func (m *Machine) companyScore(serving imageID, w *worker) float64 {
	score := 0.0
	for _, s := range w.serving {
		if s.image == serving {
			score += companyWeight
		} else {
			score -= companyWeight
		}
	}
	if n := len(w.serving); n > 0 {
		score /= float64(n)
	}
	for _, f := range w.filling {
		score -= headroomWeight * f.share() * m.images.disturbance(serving, f.image)
	}
	return score
}
