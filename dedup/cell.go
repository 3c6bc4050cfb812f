package dedup

// Cell names a cell.
type Cell struct {
	DataCentre string
	Number     int
}
