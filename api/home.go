package api

// Home is a data centre that the first cell of a task can belong to.
type Home struct {
	DataCentre string `json:"dataCentre"`
	// Cells is the number of cells of the data centre.
	Cells int `json:"cells"`
}
