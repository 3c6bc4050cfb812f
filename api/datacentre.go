package api

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	InService bool `json:"inService"`
	// Cells is the number of cells; it can't be changed.
	Cells int `json:"cells,omitempty"`
	// DrainSeconds bounds the time for moving work out of a data centre that is
	// taken out of service.
	DrainSeconds int64 `json:"drainSeconds,omitempty"`
}
