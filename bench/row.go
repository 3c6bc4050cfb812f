package bench

// Row is the result of one variant in one scenario of one deployment.
type Row struct {
	Deployment string
	Scenario   string
	Variant    string
	// Values are in the order of Report.Columns.
	Values []Spread
}
