package dedup

// Cell identifies a cell by its data centre and its number in it.
type Cell struct {
	DataCentre string
	Number     int
}
