package dispatch

// images is what is learned of each image's disturbance.
type images struct {
	// pressure is the processor use of best-effort runs that a long-running
	// run on the same worker bore last, by worker.
	limit map[string]float64
}

func newImages() images { return images{limit: make(map[string]float64)} }
