package api

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	InService bool `json:"inService"`
	// Cells is the number of cells; it can't be changed.
	Cells int `json:"cells,omitempty"`
	// DrainSeconds bounds the move of work out of a data centre taken out.
	DrainSeconds int64 `json:"drainSeconds,omitempty"`
}
