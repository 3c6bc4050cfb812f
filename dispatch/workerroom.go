package dispatch

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// reservation returns what a run of a step takes of its worker's capacity: its request,
// without the CPU if it is best-effort.
func reservation(step *workload.Step) hostapi.Resources {
	request := step.Request
	if step.BestEffort {
		request.MilliCPU = 0
	}
	return request
}

func (w *worker) adjustReserved(r *run, sign int64) {
	w.runsVersion++
	w.tenants.count(r, sign)
	if r.isolated {
		w.isolated += sign
	}
	request := reservation(r.step)
	if r.ahead {
		w.ahead = addTimes(w.ahead, request, sign)
	}
	if r.step.BestEffort {
		w.bestEffortCPU += sign * r.bestEffortCPU()
	}
	if r.step.LongRunning {
		w.longRunning = addTimes(w.longRunning, request, sign)
	}
	if r.step.MaxPerWorker > 0 {
		w.countLimited(r.stepKey(), int(sign))
	}
	w.reserved = addTimes(w.reserved, request, sign)
}

// addTimes returns sum with a request added or, with a sign of -1, subtracted.
func addTimes(sum, request hostapi.Resources, sign int64) hostapi.Resources {
	sum.MilliCPU += sign * request.MilliCPU
	sum.MemoryMiB += sign * request.MemoryMiB
	sum.Accelerators += sign * request.Accelerators
	return sum
}

// free returns the capacity of a worker that no run reserves and no task claims.
func (w *worker) free() hostapi.Resources { return w.Capacity.Sub(w.reserved).Sub(w.claimed) }

// freeInTime returns the capacity that is free once the runs that end by themselves have ended.
func (w *worker) freeInTime() hostapi.Resources {
	return w.Capacity.Sub(w.longRunning).Sub(w.claimed)
}

// piece returns the CPU that long-running runs leave on a worker, when those that are being stopped have
// ended.
func (w *worker) piece() int64 {
	if w.roundPiece >= 0 {
		return w.roundPiece
	}
	piece := w.freeInTime().MilliCPU
	for _, r := range w.runList {
		if r.phase == stopping && r.step.LongRunning {
			piece += reservation(r.step).MilliCPU
		}
	}
	w.roundPiece = max(0, piece)
	return w.roundPiece
}
