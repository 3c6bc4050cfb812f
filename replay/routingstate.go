package replay

// routingState is what a trace can state of a cell.
type routingState struct {
	Cell  int    `json:"cell"`
	Term  int64  `json:"term"`
	State string `json:"state"`
	// Slots is how many slots of a worker with 8 may be used.
	Slots int `json:"slots"`
	InUse int `json:"inUse"`
}
