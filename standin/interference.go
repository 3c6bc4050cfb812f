package standin

// Interference says how much tasks of kind Neighbour slow down a task of kind Kind.
type Interference struct {
	Kind      string `json:"kind"`
	Neighbour string `json:"beside"`
	// Slowdown is what one unthrottled neighbour adds to the time of a unit of
	// work at full load, as a share of its time when alone.
	Slowdown float64 `json:"slowdown"`
}
