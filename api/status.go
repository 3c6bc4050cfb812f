package api

// Status is the observed state of a resource.
type Status struct {
	// Counts of tasks by state.
	Pending   int `json:"pending"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Evictions int `json:"evictions"`
	// UnknownCells is the number of cells whose owner did not answer.
	UnknownCells int         `json:"unknownCells,omitempty"`
	Conditions   []Condition `json:"conditions,omitempty"`
}
