package dispatch

import "github.com/cactusreel/cactusreel/workload"

// packingShare is the fraction of the CPU of the suitable workers from which on long-running
// tasks are packed. Below it, every worker has room for large tasks, and the loss of a worker
// ends fewer long-running ones.
const packingShare = 0.25

// packingWeight is the weight of the CPU that packing leaves on a worker. It is half of that of
// tasks of one image, because mixed images leave fewer workers to best-effort tasks.
const packingWeight = 0.5

// packsLongRunning reports whether the tasks of a long-running step go to the workers with the
// least CPU beside long-running tasks. It answers the load of large finite tasks beside
// long-running ones that request most of the CPU: these, spread over all workers, leave pieces
// into which no large task fits.
func packsLongRunning(ws *waitingStep, step *workload.Step, workers []*worker) bool {
	var requested, capacity int64
	for _, w := range workers {
		if w.Service == ws.entry.Policy.Service && w.HasLabel(step.Label) {
			requested += w.longRunning.MilliCPU
			capacity += w.Capacity.MilliCPU
		}
	}
	return float64(requested) >= packingShare*float64(capacity)
}

// packingScore returns the part of the score of a worker that depends on its CPU if long-running
// tasks are packed: the less of it a task leaves to others, the higher. Best-effort runs, which
// would interfere, count as left. Urgent finite runs don't count, because they end.
func packingScore(step *workload.Step, w *worker) float64 {
	left := w.Capacity.MilliCPU - w.longRunning.MilliCPU - step.Request.MilliCPU
	return -packingWeight * fraction(left+w.bestEffortCPU, w.Capacity.MilliCPU)
}
