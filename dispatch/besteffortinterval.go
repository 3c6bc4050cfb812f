package dispatch

import "time"

// bestEffortInterval is the time during which a best-effort run was active on a
// worker.
type bestEffortInterval struct {
	image imageID
	// share is the share of the worker's CPU by which the run interfered.
	share float64
	from  time.Duration
	// to is 0 while the run is active.
	to time.Duration
}

// bestEffortShares returns the mean share of the worker's CPU that each best-effort
// image had during the measurement window that ends now.
func (w *worker) bestEffortShares(now time.Duration) map[imageID]float64 {
	shares := make(map[imageID]float64)
	kept := w.bestEffortHistory[:0]
	begin := now - measurementWindow
	for _, interval := range w.bestEffortHistory {
		end := now
		if interval.to > 0 {
			end = interval.to
		}
		if end <= begin {
			continue
		}
		kept = append(kept, interval)
		if overlap := end - max(begin, interval.from); overlap > 0 {
			shares[interval.image] += interval.share * float64(overlap) / float64(measurementWindow)
		}
	}
	w.bestEffortHistory = kept
	return shares
}

// beginInterval records that a best-effort run has become active on the worker.
func (w *worker) beginInterval(r *run, now time.Duration) {
	if r.step.BestEffort {
		w.bestEffortHistory = append(w.bestEffortHistory, bestEffortInterval{image: r.image, share: r.pressure(), from: now})
		r.intervalFrom = now
	}
}

// endInterval records that a best-effort run is no longer active.
func (w *worker) endInterval(r *run, now time.Duration) {
	if !r.step.BestEffort || r.startedAt == 0 {
		return
	}
	for i := range w.bestEffortHistory {
		interval := &w.bestEffortHistory[i]
		if interval.to == 0 && interval.image == r.image && interval.from == r.intervalFrom {
			interval.to = now
			return
		}
	}
}
