package replay

// routingState is the state of a cell that outcome patterns match.
type routingState struct {
	Cell  int    `json:"cell"`
	Term  int64  `json:"term"`
	State string `json:"state"`
	// Slots is how many slots may be used on a worker that has 8.
	Slots int `json:"slots"`
	// InUse is the number of slots in use in the cell.
	InUse int `json:"inUse"`
}
