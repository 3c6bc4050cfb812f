package dispatch

import "time"

// presence is a best-effort run that was on a worker for a time.
type presence struct {
	image imageID
	share float64
	from  time.Duration
	// to is 0 while the run is there.
	to time.Duration
}

// exposure returns the mean shares that best-effort images had of a worker
// during the time that its newest figures cover.
func (w *worker) exposure(now time.Duration) map[imageID]float64 {
	shares := make(map[imageID]float64)
	kept := w.presences[:0]
	begin := now - figureWindow
	for _, p := range w.presences {
		end := now
		if p.to > 0 {
			end = p.to
		}
		if end <= begin {
			continue
		}
		kept = append(kept, p)
		if overlap := end - max(begin, p.from); overlap > 0 {
			shares[p.image] += p.share * float64(overlap) / float64(figureWindow)
		}
	}
	w.presences = kept
	return shares
}

// arrive notes that a best-effort run is on its worker.
func (w *worker) arrive(r *run, now time.Duration) {
	if r.step.BestEffort {
		w.presences = append(w.presences, presence{image: r.image, share: r.share(), from: now})
	}
}

// depart notes that a best-effort run has left.
func (w *worker) depart(r *run, now time.Duration) {
	if !r.step.BestEffort || r.startedAt == 0 {
		return
	}
	for i := range w.presences {
		p := &w.presences[i]
		if p.to == 0 && p.image == r.image && p.from == r.startedAt {
			p.to = now
			return
		}
	}
}
