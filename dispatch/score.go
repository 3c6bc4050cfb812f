package dispatch

import (
	"github.com/cactusreel/cactusreel/workload"
)

// Weights of the placement score. A score of 1 corresponds to a worker whose CPU
// is entirely unused.
const (
	// avoidPenalty moves the next run of a failed task to another worker whenever
	// another one can take it.
	avoidPenalty = 4.0
	// remotePenalty is the penalty for running away from the rack of the data or of
	// the step, multiplied by the relative increase of the run time.
	remotePenalty = 1.0
	// awayPenalty is the least such penalty of tasks that wait for room near their data: they
	// take free room there first.
	awayPenalty = 1.5
	// headroomWeight is the weight of the headroom below the latency targets.
	headroomWeight = 0.5
	// sameImageWeight is the score of a worker on which all runs with a latency
	// target have the same image as the task.
	sameImageWeight = 1.0
	// slowPenalty is the penalty for a slow worker, multiplied by the relative
	// increase of its run times over the estimates.
	slowPenalty = 0.5
	// neededRoomPenalty is the penalty of a worker whose room finite steps need.
	neededRoomPenalty = 4.0
	// largePieceWeight is the penalty of a worker for each size of larger finite tasks that its piece
	// of room fits.
	largePieceWeight = 0.9
	// minUnusedShare is the minimum fraction of its CPU request that a best-effort
	// task must find unused on a worker.
	minUnusedShare = 0.5
)

// fits reports whether a worker can take a task of a step now.
func (m *Machine) fits(ws *waitingStep, step *workload.Step, w *worker) bool {
	if !w.hasRoom(step) || !suits(ws, step, w) {
		return false
	}
	return !step.BestEffort || m.fitsColocated(ws, step, w)
}

// hasRoom reports whether a worker has the capacity for a task of a step, apart from the CPU
// of best-effort tasks. A sum with the request of a malformed query could overflow.
func (w *worker) hasRoom(step *workload.Step) bool {
	return reservation(step).Fits(w.free())
}

// suits reports whether a worker may run a task of a step, apart from its capacity.
func suits(ws *waitingStep, step *workload.Step, w *worker) bool {
	if w.Service != ws.entry.Policy.Service || !w.HasLabel(step.Label) {
		return false
	}
	return step.MaxPerWorker == 0 || w.countRuns(ws) < step.MaxPerWorker
}

// fitsColocated reports whether a worker has unused CPU for a best-effort task and
// the tasks there can keep their latency targets beside it.
func (m *Machine) fitsColocated(ws *waitingStep, step *workload.Step, w *worker) bool {
	refused := m.colocationRefusal(ws.image, step, w)
	return refused == colocatable || refused == knownInterference && ws.suspect
}

// cpuShare returns the fraction of the worker's CPU that a task requests.
func (w *worker) cpuShare(step *workload.Step) float64 {
	return float64(step.Request.MilliCPU) / max(float64(w.Capacity.MilliCPU), 1)
}

// unusedCPU returns the CPU that is expected to be unused, in thousandths of a
// core.
func (w *worker) unusedCPU() float64 {
	used := float64(w.reserved.MilliCPU + w.bestEffortCPU)
	for _, s := range w.latencyRuns {
		used -= s.unusedCPU()
	}
	return float64(w.Capacity.MilliCPU) - used
}

// exceedsMaxPerWorker reports whether more runs of a step's occurrence are recorded
// on the worker than the step allows. This happens if a previous owner recorded
// runs and then gave them up.
func (r *run) exceedsMaxPerWorker() bool {
	limit := r.step.MaxPerWorker
	return limit > 0 && r.worker.limitedRuns[r.stepKey()] > limit
}

// countRuns counts the runs of a step's occurrence on a worker. The step has a limit per
// worker.
func (w *worker) countRuns(ws *waitingStep) int {
	return w.limitedRuns[stepKey{submission: ws.entry.ID, occurrence: ws.occurrence, step: ws.stepIndex}]
}

// score returns the placement score of a worker for a task of a step. Higher is
// better.
func (m *Machine) score(ws *waitingStep, step *workload.Step, w *worker, rack string) float64 {
	score := m.roomScore(ws, step, w)
	if step.DataRack != "" && step.DataRack != w.Rack {
		score -= m.remotePenalty(step)
	}
	if rack != "" && rack != w.Rack {
		score -= remotePenalty * (m.config.RemoteFactor - 1)
	}
	if ws.suspect {
		score -= m.collateral(w)
	}
	if w.history.slowdown > 1 {
		score -= slowPenalty * (w.history.slowdown - 1)
	}
	switch {
	case step.BestEffort && len(w.latencyRuns) > 0:
		score += headroomWeight * m.headroom(w, ws.image, w.cpuShare(step))
	case step.BestEffort:
		score += headroomWeight
	case step.LatencyTarget > 0:
		score += m.colocationScore(ws.image, w)
	}
	return score
}

// remotePenalty returns the penalty of a worker away from the data of a step.
func (m *Machine) remotePenalty(step *workload.Step) float64 {
	penalty := remotePenalty * (m.config.RemoteFactor - 1)
	if m.mayWait(step) {
		return max(penalty, awayPenalty)
	}
	return penalty
}

// roomScore returns the part of the score that depends on the room: tasks prefer workers with much unused
// CPU, long-running ones where enough room is left to finite steps, and finite ones where the piece of
// room is of less use to larger tasks. Tasks that are tied to a rack or to others have no such choice.
func (m *Machine) roomScore(ws *waitingStep, step *workload.Step, w *worker) float64 {
	score := (w.unusedCPU() - float64(step.Request.MilliCPU)) / max(float64(w.Capacity.MilliCPU), 1)
	switch {
	case step.BestEffort, step.Gang, step.SameRack, step.DataRack != "":
	case !step.LongRunning:
		score -= largePieceWeight * float64(m.finiteRoom.largerSizes(classOfStep(ws), step.Request.MilliCPU, w))
	case !m.admits(ws, step, w):
		score -= neededRoomPenalty
	}
	return score
}

// colocationScore returns the part of the score that depends on the other runs on
// the worker. It prefers workers whose runs with a latency target have the same
// image: best-effort images that interfere with it can then use the workers of the
// other images. It avoids workers whose best-effort runs interfere with the image.
func (m *Machine) colocationScore(latencyImage imageID, w *worker) float64 {
	score := 0.0
	for _, s := range w.latencyRuns {
		if s.image == latencyImage {
			score += sameImageWeight
		} else {
			score -= sameImageWeight
		}
	}
	if n := len(w.latencyRuns); n > 0 {
		score /= float64(n)
	}
	for _, f := range w.bestEffortRuns {
		score -= headroomWeight * f.cpuShare() * m.model.interference(latencyImage, f.image)
	}
	return score
}
