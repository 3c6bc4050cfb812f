package standin

// Interference describes how much a task of kind Neighbour slows down a task of
// kind Kind on the same worker.
type Interference struct {
	Kind      string `json:"kind"`
	Neighbour string `json:"beside"`
	// Slowdown is the time that one unthrottled neighbour adds to a unit of work
	// at full load, relative to the time without interference.
	Slowdown float64 `json:"slowdown"`
}
