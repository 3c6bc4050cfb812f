package api

// Home is a data centre that tasks can be at home in.
type Home struct {
	DataCentre string `json:"dataCentre"`
	// Cells is the number of cells of the data centre.
	Cells int `json:"cells"`
}
